import type { Violation } from '../common/violation.js'

/** Result of one schedule. */
export interface GroupRunResult {
  violations: Violation[]
  acknowledged: number
  reads: number
  hasPrimary: boolean
}
