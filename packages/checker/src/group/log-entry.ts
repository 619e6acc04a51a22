/** Entry of a fake database's log. */
export interface LogEntry {
  term: number
  /** Identifier of the work; empty for the first entry of a term. */
  work: string
}
