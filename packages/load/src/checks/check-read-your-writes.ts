import type { History } from '../history/history.js'
import type { Operation } from '../history/operation.js'
import type { Violation } from './violation.js'

/** Finds reads whose result lacks a write of the same session in the same group that was acknowledged before the read began. */
export function checkReadYourWrites ({ operations }: History): Violation[] {
  const violations: Violation[] = []
  for (const sessionOperations of groupBySession(operations).values()) {
    const acknowledged = sessionOperations.filter(({ kind, outcome, rolledBack }) => kind !== 'read' && outcome === 'run' && !rolledBack)
    for (const read of sessionOperations) {
      if (read.observed === undefined || read.outcome !== 'run' || read.acceptsStale) continue
      const observedIds = new Set(read.observed)
      const missed = acknowledged.find(({ endMs, writes }) => endMs <= read.startMs && writes.some((id) => !observedIds.has(id)))
      if (missed === undefined) continue
      violations.push({ check: 'read-your-writes', operation: read.id, text: `session ${read.session} did not see its write ${missed.id}` })
    }
  }
  return violations
}

function groupBySession (operations: Operation[]): Map<string, Operation[]> {
  const groups = new Map<string, Operation[]>()
  for (const operation of operations) {
    const key = `${operation.group}\0${operation.session}`
    const members = groups.get(key)
    if (members === undefined) groups.set(key, [operation])
    else members.push(operation)
  }
  return groups
}
