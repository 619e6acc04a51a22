/** Position of the first log entry of a term. */
export interface TermStart {
  term: number
  start: number
}
