import type { History } from '../history/history.js'
import type { Violation } from './violation.js'

/** Finds reads that miss a row which an earlier read of the same session had returned. Rows are never deleted. */
export function checkMonotonicReads ({ operations }: History): Violation[] {
  const violations: Violation[] = []
  const reads = operations.filter(({ observed, outcome, acceptsStale }) => observed !== undefined && outcome === 'run' && !acceptsStale)
  const latest = new Map<string, typeof reads[number]>()
  for (const read of reads.sort((left, right) => left.startMs - right.startMs)) {
    const key = `${read.group}\0${read.session}`
    const earlier = latest.get(key)
    const seen = new Set(read.observed)
    const gone = earlier !== undefined && earlier.endMs <= read.startMs ? earlier.observed?.find((id) => !seen.has(id)) : undefined
    if (gone !== undefined) violations.push({ check: 'monotonic-reads', operation: read.id, text: `row ${gone} was seen by ${earlier?.id} and is missing` })
    latest.set(key, read)
  }
  return violations
}
