import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { countLedgerRows } from './count-ledger-rows.js'

/**
 * Finds transactions of which only some rows are stored, rows that are stored although their transaction was rolled back,
 * and rows that are stored under another session. Each shows that statements of two sessions shared one upstream transaction.
 */
export function checkMixedTransactions (history: History): Violation[] {
  const counts = countLedgerRows(history)
  const sessions = new Map(history.ledger.map(({ id, session }) => [id, session]))
  return history.operations.filter(({ kind }) => kind !== 'read').flatMap(({ id, session, writes, rolledBack }) => {
    const storedRows = writes.filter((row) => counts.has(row))
    const foreignRow = storedRows.find((row) => sessions.get(row) !== session)
    const reportViolation = (text: string): Violation[] => [{ check: 'mixed-transactions', operation: id, text }]
    if (foreignRow !== undefined) return reportViolation(`row ${foreignRow} is stored under session ${sessions.get(foreignRow)}`)
    if (rolledBack && storedRows.length > 0) return reportViolation(`row ${storedRows[0]} survived the roll-back`)
    if (storedRows.length > 0 && storedRows.length < writes.length) return reportViolation(`${storedRows.length} of ${writes.length} rows were kept`)
    return []
  })
}
