import type { Change } from '../ledger/change.js'

/** Entry of the replicated log. Its position is its number, counted from 1. The first entry of a term has no changes. */
export interface LogEntry {
  term: number
  changes: Change[]
}
