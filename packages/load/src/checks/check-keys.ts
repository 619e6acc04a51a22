import type { History } from '../history/history.js'
import type { Violation } from './violation.js'

/** Time after which no host may accept work under a withdrawn key; section 1.3 of the design. */
const WITHDRAWAL_BOUND_MS = 8000

/** Finds work that ran at an entry of another organisation, or that began more than `boundMs` after its key was withdrawn. */
export function checkKeys ({ operations, entries, withdrawals }: History, boundMs = WITHDRAWAL_BOUND_MS): Violation[] {
  const withdrawn = new Map(withdrawals.map(({ key, atMs }) => [key, atMs]))
  return operations.filter(({ outcome }) => outcome !== 'not-run').flatMap(({ id, entry, organisation, key, startMs }) => {
    const owner = entries[entry]?.owner
    const violations: Violation[] = []
    if (owner === undefined) violations.push({ check: 'foreign-key', operation: id, text: `entry ${entry} is not in the catalogue` })
    else if (owner !== null && owner !== organisation) violations.push({ check: 'foreign-key', operation: id, text: `${organisation} ran work at ${entry} of ${owner}` })
    const msSinceWithdrawal = startMs - (withdrawn.get(key) ?? Infinity)
    if (msSinceWithdrawal > boundMs) violations.push({ check: 'withdrawn-key', operation: id, text: `ran ${Math.round(msSinceWithdrawal)} ms after key ${key} was withdrawn` })
    return violations
  })
}
