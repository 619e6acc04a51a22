import { checkHistory } from '../checks/check-history.js'
import type { Violation } from '../checks/violation.js'
import { Fleet } from '../fleet/fleet.js'
import type { Operation } from '../history/operation.js'
import { computePercentile } from '../measures/compute-percentile.js'
import { SeededRandom } from '../random/seeded-random.js'
import type { Workload } from '../workload/workload.js'
import { buildCallers } from './build-callers.js'
import { buildHistory } from './build-history.js'
import { LoadGenerator } from './load-generator.js'

interface RunLoadOptions {
  workload: Workload
  seed: number
  hosts: number
  groups: number
  loop: 'open' | 'closed'
  durationMs: number
  operationsMaximum: number
  sessions: number
  perSecond: number
  /** Whether the primary of a random group is cut off in the middle third of the run. */
  cutOff: boolean
}

interface LoadSummary {
  violations: Violation[]
  classes: Array<{ name: string, run: number, notRun: number, unknown: number, p50Ms: number, p99Ms: number }>
}

/** Starts a fleet, runs the callers of a workload on it, then reads the rows at the databases and checks the history. */
export async function runLoad (options: RunLoadOptions): Promise<LoadSummary> {
  const { workload, seed, hosts, groups, durationMs } = options
  const fleet = await Fleet.start({ workload, seed, groups, hosts })
  try {
    const startMs = performance.now()
    const clock = { readTime: (): number => performance.now() - startMs }
    const generator = LoadGenerator.create({ ...options, callers: buildAllCallers(fleet, options, clock), clock })
    const [operations] = await Promise.all([generator.run(), options.cutOff ? applyCutOff(fleet, seed, durationMs) : undefined])
    const history = await buildHistory(fleet, operations)
    return { violations: checkHistory(history), classes: workload.classes.map(({ name }) => summarise(name, operations)) }
  } finally {
    await fleet.close()
  }
}

function buildAllCallers (fleet: Fleet, { workload, seed, sessions, perSecond }: RunLoadOptions, clock: { readTime: () => number }) {
  const classWeights = workload.classes.reduce((sum, { weight }) => sum + weight, 0)
  const organisationWeights = workload.organisations.reduce((sum, { weight }) => sum + weight, 0)
  return workload.organisations.flatMap(({ name: organisation, weight }) => workload.classes.flatMap((callerClass) => {
    const share = callerClass.weight / classWeights * weight / organisationWeights
    return buildCallers({ fleet, clock, seed, label: 'run', organisation, callerClass, sessions: Math.max(1, Math.round(sessions * share)), perSecond: perSecond * share })
  }))
}

async function applyCutOff (fleet: Fleet, seed: number, durationMs: number): Promise<void> {
  const { name } = SeededRandom.create(`${seed}/cut-off`).choose(fleet.plan.groups)
  await new Promise((resolve) => { setTimeout(resolve, durationMs / 3) })
  const primary = await fleet.findPrimary(name)
  await fleet.applyFault(primary, (faults) => { faults.addCutOff(primary) })
  await new Promise((resolve) => { setTimeout(resolve, durationMs / 3) })
  await fleet.applyFault(primary, (faults) => { faults.remove(primary) })
}

function summarise (name: string, operations: Operation[]): LoadSummary['classes'][number] {
  const classOperations = operations.filter(({ entry, organisation }) => entry === `${organisation}-${name}`)
  const count = (outcome: Operation['outcome']): number => classOperations.filter((operation) => operation.outcome === outcome).length
  const durations = classOperations.filter(({ outcome }) => outcome === 'run').map(({ dueMs, startMs, endMs }) => endMs - (dueMs ?? startMs))
  return { name, run: count('run'), notRun: count('not-run'), unknown: count('unknown'), p50Ms: computePercentile(durations, 50), p99Ms: computePercentile(durations, 99) }
}
