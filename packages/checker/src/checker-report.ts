import type { GroupRunResult } from './group/group-run-result.js'
import type { GroupStep } from './group/group-step.js'

/** Result of a run of the checker. */
export interface CheckerReport {
  runs: number
  acknowledged: number
  reads: number
  /** Smallest failing schedule that shrinking found. */
  counterexample: { seed: number, steps: readonly GroupStep[], violations: GroupRunResult['violations'] } | undefined
}
