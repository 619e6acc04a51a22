import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { countLedgerRows } from './count-ledger-rows.js'

/** Finds rows that the databases hold more than once, which means that their work was executed twice. */
export function checkDoubledWrites (history: History): Violation[] {
  return [...countLedgerRows(history)]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => ({ check: 'doubled', operation: id, text: `row ${id} is in the ledger ${count} times` }))
}
