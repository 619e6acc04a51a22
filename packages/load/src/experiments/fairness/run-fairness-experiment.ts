import { SlotScheduler } from '@tanagerusher/coordination/fairness/slot-scheduler'
import { computePercentile } from '../../measures/compute-percentile.js'
import type { ExperimentResult } from '../../report/experiment-result.js'
import { FirstComeFirstServedPolicy } from './first-come-first-served-policy.js'
import type { QueuePolicy } from './queue-policy.js'
import { runFairnessCase } from './run-fairness-case.js'
import type { ArrivalProcess } from './arrival-process.js'
import type { Completion } from './completion.js'

const ORGANISATIONS = ['turg', 'sadam', 'raekoda', 'anne', 'kesk', 'ranna', 'lille', 'vana']
const OVERLOADING_ORGANISATION = 'turg'
const SLOTS = 3
const MEAN_SERVICE_MS = 6
/** Share of the slot time that all organisations use together when each sends at its rate. */
const NORMAL_LOAD = 0.7
const DURATION_MS = 60_000
const WARM_UP_MS = 5000
/** Requests that arrive this late in a case are not measured, because they may still wait, within their deadline, when it ends. */
const COMPLETION_MARGIN_MS = 10_000
const SHARE_BOUND = 0.95
const RATIO_BOUND = 1.5

const SCENARIOS = [
  { name: 'all at their rate', factor: 1, serviceFactor: 1 },
  { name: 'one at 10 x its rate', factor: 10, serviceFactor: 1 },
  { name: 'one at 10 x with statements 10 x as long', factor: 10, serviceFactor: 10 }
]
const MECHANISMS: Array<{ name: string, role: 'product' | 'baseline', create: () => QueuePolicy }> = [
  { name: 'fair queue by organisation', role: 'product', create: () => SlotScheduler.create({ slots: SLOTS }) },
  { name: 'first come, first served', role: 'baseline', create: () => FirstComeFirstServedPolicy.create({ slots: SLOTS }) }
]

/** Compares the share and the 99th percentile latency of the worst-served organisation with those under first come, first served. */
export function runFairnessExperiment ({ seed, runs, command }: { seed: number, runs: number, command: string }): ExperimentResult {
  const rows = SCENARIOS.flatMap((scenario) => MECHANISMS.map((mechanism) => measureRow(scenario, mechanism, seed, runs)))
  const overloadRows = rows.filter(({ role, scenario }) => role === 'product' && scenario !== SCENARIOS[0]?.name)
  const share = Math.min(...overloadRows.map(({ figures }) => figures['worst share'] as number))
  const ratio = overloadRows[0]?.figures['p99 over alone'] as number
  return {
    experiment: 'worst-served',
    summary: 'Share of its fair rate and 99th percentile of the organisation that is served worst, while another exceeds its rate.',
    method: `The product's SlotScheduler and FairQueue over a fake database with ${SLOTS} slots, Poisson arrivals and exponential service times with a mean of ${MEAN_SERVICE_MS} ms, injected clock; ${runs} seeds of ${DURATION_MS / 1000} s a row. No rate limit stands in front of the queue; eight organisations use ${NORMAL_LOAD * 100}% of the slot time together when each sends at its rate.`,
    command,
    seed,
    rows,
    bounds: [
      { text: `worst share, bound at least ${SHARE_BOUND}`, figure: share, holds: share >= SHARE_BOUND },
      { text: `p99 of the worst-served at 10 x over running alone, bound at most ${RATIO_BOUND}`, figure: ratio, holds: ratio <= RATIO_BOUND }
    ],
    plots: ['worst share', 'p99 over alone'].map((figure) => ({
      title: `Worst-served organisation: ${figure}`,
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

function measureRow (scenario: typeof SCENARIOS[number], mechanism: typeof MECHANISMS[number], seed: number, runs: number): ExperimentResult['rows'][number] {
  const perSecond = NORMAL_LOAD * SLOTS * 1000 / MEAN_SERVICE_MS / ORGANISATIONS.length
  const arrivals = ORGANISATIONS.map((organisation): ArrivalProcess => organisation === OVERLOADING_ORGANISATION
    ? { organisation, perSecond: perSecond * scenario.factor, meanServiceMs: MEAN_SERVICE_MS * scenario.serviceFactor }
    : { organisation, perSecond, meanServiceMs: MEAN_SERVICE_MS })
  const seeds = Array.from({ length: runs }, (_, index) => `${seed}/${index}`)
  const runAll = (sources: ArrivalProcess[]): Completion[] => seeds.flatMap((runSeed) => (
    runFairnessCase({ policy: mechanism.create(), arrivals: sources, durationMs: DURATION_MS, seed: runSeed })
  ))
  const together = runAll(arrivals)
  const served = ORGANISATIONS.filter((organisation) => organisation !== OVERLOADING_ORGANISATION).map((organisation) => {
    const alone = runAll(arrivals.filter((source) => source.organisation === organisation))
    return { ...summarise(together, organisation), aloneMs: summarise(alone, organisation).p99Ms }
  })
  const worst = served.sort((left, right) => right.p99Ms / right.aloneMs - left.p99Ms / left.aloneMs)[0]
  return {
    scenario: scenario.name,
    mechanism: mechanism.name,
    role: mechanism.role,
    figures: {
      'worst share': Math.min(...served.map(({ share }) => share)),
      'worst p99 ms': worst?.p99Ms ?? null,
      'alone p99 ms': worst?.aloneMs ?? null,
      'p99 over alone': worst === undefined ? null : worst.p99Ms / worst.aloneMs
    }
  }
}

function summarise (completions: Completion[], organisation: string): { share: number, p99Ms: number } {
  const offered = completions.filter(({ organisation: name, dueMs }) => name === organisation && dueMs >= WARM_UP_MS && dueMs < DURATION_MS - COMPLETION_MARGIN_MS)
  const durations = offered.flatMap(({ dueMs, endMs }) => endMs === undefined ? [] : [endMs - dueMs])
  return { share: durations.length / offered.length, p99Ms: computePercentile(durations, 99) }
}
