/** One statement of a query text, without comments, and the literals that were taken out of it. */
export interface StatementText {
  /** The statement as it was written, without comments. */
  text: string
  /** The statement with parameters in the place of its literals; the same for statements that differ only in them. */
  template: string
  /** Number of parameters of the client; literals are numbered after them. */
  parameterCount: number
  literals: Array<string | number>
}
