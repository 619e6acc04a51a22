/** Row of `tanagerusher_request`, written in the transaction of the work that it records. */
export interface IdempotencyRecord {
  digest: string
  /** Backend messages of the first answer; null for an explicit transaction, whose answers are not kept. */
  response: Uint8Array | null
}
