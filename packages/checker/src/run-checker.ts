import fc from 'fast-check'
import { runGroupSchedule } from './group/run-group-schedule.js'
import { groupStepArbitrary } from './group/group-step.js'
import type { MechanismSwitches } from './group/mechanism-switches.js'
import type { CheckerReport } from './checker-report.js'

interface RunCheckerOptions {
  seed: number
  runs: number
  maximumSteps?: number
  switches?: MechanismSwitches
}

/** Runs random schedules of callers' work and faults against the failover and session modules. */
export function runChecker ({ seed, runs, maximumSteps = 40, switches = {} }: RunCheckerOptions): CheckerReport {
  const report: CheckerReport = { runs: 0, acknowledged: 0, reads: 0, counterexample: undefined }
  const property = fc.property(fc.integer({ min: 1, max: 2 ** 30 }), fc.array(groupStepArbitrary, { minLength: 5, maxLength: maximumSteps, size: 'max' }), (runSeed, steps) => {
    const result = runGroupSchedule({ seed: runSeed, steps, switches })
    report.runs++
    report.acknowledged += result.acknowledged
    report.reads += result.reads
    return result.violations.length === 0
  })
  const outcome = fc.check(property, { seed, numRuns: runs })
  if (outcome.failed && outcome.counterexample !== null) {
    const [runSeed, steps] = outcome.counterexample
    report.counterexample = { seed: runSeed, steps, violations: runGroupSchedule({ seed: runSeed, steps, switches }).violations }
  }
  return report
}
