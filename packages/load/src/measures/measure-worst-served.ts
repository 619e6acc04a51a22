import type { History } from '../history/history.js'
import { computePercentile } from './compute-percentile.js'
import type { WorstServed } from './worst-served.js'

interface MeasureWorstServedOptions {
  /** Organisations that exceed their rate on purpose and are not measured. */
  except?: string[]
  fromMs: number
  untilMs: number
}

/** Finds the organisation that received the smallest share of its fair rate in the interval, and its 99th percentile latency. */
export function measureWorstServed ({ operations, organisations }: History, { except = [], fromMs, untilMs }: MeasureWorstServedOptions): WorstServed | undefined {
  const seconds = (untilMs - fromMs) / 1000
  const results = Object.entries(organisations).filter(([name]) => !except.includes(name)).flatMap(([name, { rate, burst }]) => {
    const offered = operations.filter(({ organisation, startMs }) => organisation === name && startMs >= fromMs && startMs < untilMs)
    if (offered.length === 0) return []
    const completed = offered.filter(({ outcome }) => outcome === 'run')
    const entitledStatements = Math.min(sumStatements(offered), rate * seconds + burst)
    const p99Ms = computePercentile(completed.map(({ dueMs, startMs, endMs }) => endMs - (dueMs ?? startMs)), 99)
    return [{ organisation: name, share: Math.min(1, sumStatements(completed) / entitledStatements), p99Ms }]
  })
  return results.sort((left, right) => left.share - right.share || right.p99Ms - left.p99Ms)[0]
}

function sumStatements (operations: Array<{ statements: number }>): number {
  return operations.reduce((sum, { statements }) => sum + statements, 0)
}
