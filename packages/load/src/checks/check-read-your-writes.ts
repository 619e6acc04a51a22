import type { History } from '../history/history.js'
import type { Operation } from '../history/operation.js'
import type { Violation } from './violation.js'

/** Finds reads that miss a write which the same session had acknowledged in the same group before the read began. */
export function checkReadYourWrites ({ operations }: History): Violation[] {
  const violations: Violation[] = []
  for (const own of groupBySession(operations).values()) {
    const acknowledged = own.filter(({ kind, outcome, rolledBack }) => kind !== 'read' && outcome === 'run' && !rolledBack)
    for (const read of own) {
      if (read.observed === undefined || read.outcome !== 'run' || read.acceptsStale) continue
      const seen = new Set(read.observed)
      const missed = acknowledged.find(({ endMs, writes }) => endMs <= read.startMs && writes.some((id) => !seen.has(id)))
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
