import type { Value } from '../ledger/value.js'

export interface PlanResult {
  /** Rows that the statement changed; a query counts its rows as they are sent. */
  count: number
  rows: Iterable<readonly Value[]> | null
}
