/** Row of the table `tanagerusher_request`, written in the same transaction as the work that it records. */
export interface IdempotencyRecord {
  digest: string
  /** Backend messages of the first response; null for an explicit transaction, whose responses are not stored. */
  response: Uint8Array | null
}
