/** One statement of a query text, and the literals that were extracted from it. */
export interface StatementText {
  /** Original text without comments. */
  text: string
  /** Text in which parameters replace the literals; equal for statements that differ only in their literals. */
  template: string
  /** Number of the client's parameters; the parameters of literals are numbered after them. */
  parameterCount: number
  literals: Array<string | number>
}
