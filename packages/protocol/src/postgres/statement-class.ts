/** Properties of a statement text that the proxy needs before it sends the text. */
export interface StatementClass {
  /** `read` may go to a replica. Everything that is not certainly a read is a write. */
  access: 'read' | 'write'
  /** Number of statements in the text; 0 for an empty query. */
  count: number
  /** The text starts a transaction block. */
  begins: boolean
  /** `BEGIN READ ONLY` alone. */
  isReadOnlyBegin: boolean
  /** The text ends a transaction block: COMMIT, ROLLBACK and so on. */
  ends: boolean
  /** The text may commit the open transaction block. */
  commits: boolean
  /** Feature that needs state in the upstream session, which shared connections cannot keep; undefined when supported. */
  unsupported: string | undefined
}
