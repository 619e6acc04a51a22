import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { countLedgerRows } from './count-ledger-rows.js'

/**
 * Finds transactions whose rows were partly kept, rows that survived a roll-back, and rows that are stored under
 * another session. Each shows that statements of two sessions shared one upstream transaction.
 */
export function checkMixedTransactions (history: History): Violation[] {
  const counts = countLedgerRows(history)
  const sessions = new Map(history.ledger.map(({ id, session }) => [id, session]))
  return history.operations.filter(({ kind }) => kind !== 'read').flatMap(({ id, session, writes, rolledBack }) => {
    const kept = writes.filter((row) => counts.has(row))
    const foreign = kept.find((row) => sessions.get(row) !== session)
    const fail = (text: string): Violation[] => [{ check: 'mixed-transactions', operation: id, text }]
    if (foreign !== undefined) return fail(`row ${foreign} is stored under session ${sessions.get(foreign)}`)
    if (rolledBack && kept.length > 0) return fail(`row ${kept[0]} survived the roll-back`)
    if (kept.length > 0 && kept.length < writes.length) return fail(`${kept.length} of ${writes.length} rows were kept`)
    return []
  })
}
