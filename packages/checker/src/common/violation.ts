/** Promise of the platform that was broken during a schedule. */
export interface Violation {
  promise: string
  detail: string
}
