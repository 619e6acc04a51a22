import fc from 'fast-check'
import type { Violation } from '../common/violation.js'
import { createLeaseStepArbitrary, type LeaseStep } from './lease-step.js'
import type { LeaseSwitches } from './lease-switches.js'
import { runLeaseSchedule } from './run-lease-schedule.js'

interface RunOptions {
  seed: number
  runs: number
  /** Whether the store is also restored from copies. */
  hasRestores?: boolean
  switches?: LeaseSwitches
}

interface Report {
  runs: number
  acknowledged: number
  promotions: number
  /** First schedule that broke a promise. */
  counterexample: { seed: number, steps: readonly LeaseStep[], violations: Violation[] } | undefined
}

const MINIMUM_STEPS = 10
const MAXIMUM_STEPS = 60

/** Runs random schedules of requests and faults against leases that expire, until one breaks a promise. */
export async function runLeaseChecker ({ seed, runs, hasRestores = false, switches = {} }: RunOptions): Promise<Report> {
  const report: Report = { runs: 0, acknowledged: 0, promotions: 0, counterexample: undefined }
  const schedules = fc.sample(fc.tuple(fc.integer({ min: 1, max: 2 ** 30 }), fc.array(createLeaseStepArbitrary(hasRestores), { minLength: MINIMUM_STEPS, maxLength: MAXIMUM_STEPS, size: 'max' })), { seed, numRuns: runs })
  for (const [runSeed, steps] of schedules) {
    const result = await runLeaseSchedule({ seed: runSeed, steps, switches })
    report.runs++
    report.acknowledged += result.acknowledged
    report.promotions += result.promotions
    if (result.violations.length === 0) continue
    report.counterexample = { seed: runSeed, steps, violations: result.violations }
    break
  }
  return report
}
