/** One piece of work of a caller: an autocommit statement or a whole transaction, not yet sent. */
export interface Work {
  kind: 'read' | 'write' | 'transaction'
  statements: Array<{ text: string, values: Array<string | number> }>
  /** Identifiers of the rows that the work inserts. */
  writes: string[]
  rollback: boolean
  idempotencyKey?: string
  /** Value that the response must repeat. */
  marker: string
}
