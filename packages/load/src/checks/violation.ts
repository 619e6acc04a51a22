/** Violation of a guarantee. `operation` names the operation, row or organisation that shows it. */
export interface Violation {
  check: string
  operation: string
  text: string
}
