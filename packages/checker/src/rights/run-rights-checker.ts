import fc from 'fast-check'
import type { Violation } from '../common/violation.js'
import { rightsStepArbitrary, type RightsStep } from './rights-step.js'
import type { RightsSwitches } from './rights-switches.js'
import { runRightsSchedule } from './run-rights-schedule.js'

interface RunOptions {
  seed: number
  runs: number
  switches?: RightsSwitches
}

interface Report {
  runs: number
  acknowledged: number
  promotions: number
  /** Schedule that broke a promise. */
  counterexample: { seed: number, steps: readonly RightsStep[], violations: Violation[] } | undefined
}

const MINIMUM_STEPS = 10
const MAXIMUM_STEPS = 60

/** Runs random schedules of work and troubles against rights that run out, until one breaks a promise. */
export async function runRightsChecker ({ seed, runs, switches = {} }: RunOptions): Promise<Report> {
  const report: Report = { runs: 0, acknowledged: 0, promotions: 0, counterexample: undefined }
  const schedules = fc.sample(fc.tuple(fc.integer({ min: 1, max: 2 ** 30 }), fc.array(rightsStepArbitrary, { minLength: MINIMUM_STEPS, maxLength: MAXIMUM_STEPS, size: 'max' })), { seed, numRuns: runs })
  for (const [runSeed, steps] of schedules) {
    const result = await runRightsSchedule({ seed: runSeed, steps, switches })
    report.runs++
    report.acknowledged += result.acknowledged
    report.promotions += result.promotions
    if (result.violations.length === 0) continue
    report.counterexample = { seed: runSeed, steps, violations: result.violations }
    break
  }
  return report
}
