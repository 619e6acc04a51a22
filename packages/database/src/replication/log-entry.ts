import type { Change } from '../ledger/change.js'

/** Entry of the replicated log. Positions of entries count from 1. The first entry of a term has no changes. */
export interface LogEntry {
  term: number
  changes: Change[]
}
