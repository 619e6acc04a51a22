import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { countLedgerRows } from './count-ledger-rows.js'

/** Finds acknowledged writes that a read returned but that the databases no longer hold after the run. */
export function checkLostWrites (history: History): Violation[] {
  const counts = countLedgerRows(history)
  const observed = new Set(history.operations.flatMap((operation) => operation.observed ?? []))
  return history.operations
    .filter(({ kind, outcome, rolledBack }) => kind !== 'read' && outcome === 'run' && !rolledBack)
    .flatMap(({ id, writes }) => writes
      .filter((row) => !counts.has(row) && observed.has(row))
      .map((row) => ({ check: 'lost', operation: id, text: `row ${row} was acknowledged and read, and is gone` })))
}
