/** One piece of work as a caller class makes it, before it is sent. */
export interface Work {
  kind: 'read' | 'write' | 'transaction'
  statements: Array<{ text: string, values: Array<string | number> }>
  /** Identifiers of the rows that the work inserts. */
  writes: string[]
  rollback: boolean
  idempotencyKey?: string
  /** Value that the answer must repeat. */
  marker: string
}
