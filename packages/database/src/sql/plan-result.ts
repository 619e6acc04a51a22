import type { Value } from '../ledger/value.js'

export interface PlanResult {
  /** Number of rows that the statement changed; 0 for a query, whose rows are counted while they are sent. */
  count: number
  rows: Iterable<readonly Value[]> | null
}
