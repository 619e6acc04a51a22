/** A promise that a schedule broke. */
export interface Violation {
  promise: string
  detail: string
}
