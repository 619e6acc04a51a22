import { computePercentile } from '../../measures/compute-percentile.js'
import type { ExperimentResult } from '../../report/experiment-result.js'
import { runFailoverCase } from './run-failover-case.js'
import type { FailoverMechanism } from './failover-mechanism.js'
import type { FailoverScenario } from './failover-scenario.js'

const MECHANISMS: FailoverMechanism[] = [
  { name: 'majority of the databases', role: 'product', promotion: 'majority', acknowledgement: 'majority' },
  { name: 'store lease', role: 'baseline', promotion: 'store-lease', acknowledgement: 'majority' },
  { name: 'acknowledge at the primary only', role: 'baseline', promotion: 'majority', acknowledgement: 'primary' }
]
const SCENARIOS: FailoverScenario[] = [
  { name: 'primary crashes', fault: 'crash', storeOutage: false, loseFirstHost: false },
  { name: 'primary is cut off', fault: 'cut-off', storeOutage: false, loseFirstHost: false },
  { name: 'primary and first host lost', fault: 'cut-off', storeOutage: false, loseFirstHost: true },
  { name: 'primary cut off in a store outage', fault: 'cut-off', storeOutage: true, loseFirstHost: false }
]
const GAP_BOUND_MS = 10_000
const MEDIAN_GAP_TARGET_MS = 2000

/** Compares the failover gap and the falsely acknowledged writes of the product's promotion with those of the baselines. */
export function runFailoverExperiment ({ seed, runs, command }: { seed: number, runs: number, command: string }): ExperimentResult {
  const rows = SCENARIOS.flatMap((scenario) => MECHANISMS.map((mechanism) => measureRow(scenario, mechanism, seed, runs)))
  const product = rows.filter(({ role }) => role === 'product')
  const longest = Math.max(...product.map(({ figures }) => figures['gap max ms'] as number))
  const median = Math.max(...product.map(({ figures }) => figures['gap p50 ms'] as number))
  const falselyAcknowledged = product.reduce((sum, { figures }) => sum + (figures['falsely acknowledged'] as number), 0)
  return {
    experiment: 'failover-gap',
    summary: 'Time without an acknowledged write after a primary is lost, and acknowledged writes that the new primary lacks.',
    method: `The product's GroupMonitor, Promotion and CommitTracker over a seeded fake group with an injected clock; ${runs} seeds a row. A gap of 30000 ms means that no write was acknowledged until the end of the case.`,
    command,
    seed,
    rows,
    bounds: [
      { text: `longest gap of the product, bound ${GAP_BOUND_MS} ms`, figure: longest, holds: longest <= GAP_BOUND_MS },
      { text: `largest median gap of the product, aim under ${MEDIAN_GAP_TARGET_MS} ms`, figure: median, holds: median < MEDIAN_GAP_TARGET_MS },
      { text: 'falsely acknowledged by the product, bound 0', figure: falselyAcknowledged, holds: falselyAcknowledged === 0 }
    ],
    plots: ['gap p50 ms', 'gap max ms', 'falsely acknowledged'].map((figure) => ({
      title: `Failover: ${figure}`,
      type: 'bar',
      xLabel: 'scenario',
      yLabel: figure,
      labels: SCENARIOS.map(({ name }) => name),
      series: MECHANISMS.map(({ name }) => ({
        name, values: SCENARIOS.map((scenario) => rows.find((row) => row.scenario === scenario.name && row.mechanism === name)?.figures[figure] ?? null)
      }))
    }))
  }
}

function measureRow (scenario: FailoverScenario, mechanism: FailoverMechanism, seed: number, runs: number): ExperimentResult['rows'][number] {
  const outcomes = Array.from({ length: runs }, (_, index) => runFailoverCase(scenario, mechanism, seed * 10_000 + index))
  const gaps = outcomes.map(({ gapMs }) => gapMs)
  return {
    scenario: scenario.name,
    mechanism: mechanism.name,
    role: mechanism.role,
    figures: {
      'gap p50 ms': computePercentile(gaps, 50),
      'gap p99 ms': computePercentile(gaps, 99),
      'gap max ms': Math.max(...gaps),
      'not recovered': outcomes.filter(({ hasRecovered }) => !hasRecovered).length,
      'falsely acknowledged': outcomes.reduce((sum, { falselyAcknowledged }) => sum + falselyAcknowledged, 0)
    }
  }
}
