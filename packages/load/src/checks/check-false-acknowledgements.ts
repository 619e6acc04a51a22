import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { countLedgerRows } from './count-ledger-rows.js'

/**
 * Finds acknowledged writes that no read returned and that the databases do not hold. A replaced primary causes them when it
 * keeps acknowledging writes that the new primary never receives.
 */
export function checkFalseAcknowledgements (history: History): Violation[] {
  const counts = countLedgerRows(history)
  const observed = new Set(history.operations.flatMap((operation) => operation.observed ?? []))
  return history.operations
    .filter(({ kind, outcome, rolledBack }) => kind !== 'read' && outcome === 'run' && !rolledBack)
    .flatMap(({ id, writes }) => writes
      .filter((row) => !counts.has(row) && !observed.has(row))
      .map((row) => ({ check: 'falsely-acknowledged', operation: id, text: `row ${row} was acknowledged and is not in the ledger` })))
}
