import type { Violation } from '../common/violation.js'

/** What one schedule showed. */
export interface GroupRunResult {
  violations: Violation[]
  acknowledged: number
  reads: number
  hasPrimary: boolean
}
