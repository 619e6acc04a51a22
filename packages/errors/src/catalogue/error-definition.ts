/** What a caller may conclude about the work whose request failed. */
export type WorkOutcome = 'not-run' | 'unknown' | 'none'

/** One entry of the errors catalogue. Every error that leaves a process is described by one. */
export interface ErrorDefinition {
  /** Class name of the error. */
  name: string
  /** Short title for lists and documentation. */
  title: string
  /** Message; `{field}` is replaced by the detail of that name. */
  message: string
  /** What the reader can do about it. */
  hint: string
  /** PostgreSQL SQLSTATE that callers see. */
  sqlState: string
  /** HTTP status that operators see. */
  httpStatus: number
  /** Whether the work ran. `none` is for errors that concern no caller's work. */
  outcome: WorkOutcome
}
