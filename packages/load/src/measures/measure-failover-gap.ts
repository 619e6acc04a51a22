import type { History } from '../history/history.js'

/**
 * Failover gap of a group: time from the last acknowledged write before a fault's interruption to the first one after.
 * Writes under way when the fault begins may still be acknowledged, so the gap is the longest pause between consecutive
 * acknowledgements that ends after the fault began. `undefined` when no write was acknowledged on either side.
 */
export function measureFailoverGap ({ operations }: History, group: string, faultMs: number, untilMs = Infinity): number | undefined {
  const times = operations
    .filter((operation) => operation.group === group && operation.kind !== 'read' && operation.outcome === 'run')
    .map(({ endMs }) => endMs)
    .sort((left, right) => left - right)
  let longest: number | undefined
  for (let index = 1; index < times.length; index++) {
    const before = times[index - 1] as number
    const after = times[index] as number
    if (after < faultMs || before > untilMs) continue
    longest = Math.max(longest ?? 0, after - before)
  }
  return longest
}
