import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { countLedgerRows } from './count-ledger-rows.js'

/** Finds work that was reported as not run although the databases hold rows of it. */
export function checkFalseNotRun (history: History): Violation[] {
  const counts = countLedgerRows(history)
  return history.operations
    .filter(({ outcome, writes }) => outcome === 'not-run' && writes.some((row) => counts.has(row)))
    .map(({ id, sqlState }) => ({ check: 'false-not-run', operation: id, text: `reported as not run (${sqlState}) and is in the ledger` }))
}
