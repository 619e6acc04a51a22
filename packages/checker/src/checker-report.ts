import type { GroupRunResult } from './group/group-run-result.js'
import type { GroupStep } from './group/group-step.js'

/** What a run of the checker showed. */
export interface CheckerReport {
  runs: number
  acknowledged: number
  reads: number
  /** Smallest failing schedule that shrinking found. */
  counterexample: { seed: number, steps: readonly GroupStep[], violations: GroupRunResult['violations'] } | undefined
}
