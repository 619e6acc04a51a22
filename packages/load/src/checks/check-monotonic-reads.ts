import type { History } from '../history/history.js'
import type { Violation } from './violation.js'

/** Finds reads that lack a row which an earlier read of the same session returned. The workloads never delete rows. */
export function checkMonotonicReads ({ operations }: History): Violation[] {
  const violations: Violation[] = []
  const reads = operations.filter(({ observed, outcome, acceptsStale }) => observed !== undefined && outcome === 'run' && !acceptsStale)
  const latest = new Map<string, typeof reads[number]>()
  for (const read of reads.sort((left, right) => left.startMs - right.startMs)) {
    const key = `${read.group}\0${read.session}`
    const earlier = latest.get(key)
    const observedIds = new Set(read.observed)
    const missingRow = earlier !== undefined && earlier.endMs <= read.startMs ? earlier.observed?.find((id) => !observedIds.has(id)) : undefined
    if (missingRow !== undefined) violations.push({ check: 'monotonic-reads', operation: read.id, text: `row ${missingRow} was seen by ${earlier?.id} and is missing` })
    latest.set(key, read)
  }
  return violations
}
