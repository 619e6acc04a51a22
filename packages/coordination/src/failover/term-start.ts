/** Start position of a term in a log. */
export interface TermStart {
  term: number
  start: number
}
