/** A stated outcome that did not hold. `operation` names the operation, or the row, that shows it. */
export interface Violation {
  check: string
  operation: string
  text: string
}
