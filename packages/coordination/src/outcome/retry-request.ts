import type { RequestOutcome } from './outcome-classifier.js'

export interface RetryRequest {
  /** Number of earlier retries of this request. */
  attempt: number
  outcome: RequestOutcome
  /** Whether the work may run twice: its entry is repeatable, it is a read at a read-only replica, or an idempotency record protects it. */
  isRepeatable: boolean
  /** Whether the request continues a transaction block, whose state at the upstream a retry would lose. */
  isInTransaction: boolean
  deadline: number
}
