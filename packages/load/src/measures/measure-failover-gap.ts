import type { History } from '../history/history.js'

/**
 * Measures the failover gap of a group: the time from the last acknowledged write before the interruption to the first one
 * after it. Writes in flight when the fault begins may still be acknowledged, so the gap is the longest pause between
 * consecutive acknowledgements that ends after the fault began. Returns `undefined` when there is no such pause.
 */
export function measureFailoverGap ({ operations }: History, group: string, faultMs: number, untilMs = Infinity): number | undefined {
  const acknowledgementTimes = operations
    .filter((operation) => operation.group === group && operation.kind !== 'read' && operation.outcome === 'run')
    .map(({ endMs }) => endMs)
    .sort((left, right) => left - right)
  let longest: number | undefined
  for (let index = 1; index < acknowledgementTimes.length; index++) {
    const before = acknowledgementTimes[index - 1] as number
    const after = acknowledgementTimes[index] as number
    if (after < faultMs || before > untilMs) continue
    longest = Math.max(longest ?? 0, after - before)
  }
  return longest
}
