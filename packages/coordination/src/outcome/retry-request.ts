import type { RequestOutcome } from './outcome-classifier.js'

export interface RetryRequest {
  /** Retries made for this request so far. */
  attempt: number
  outcome: RequestOutcome
  /** The work may run again: repeatable entry, read at a read-only replica, or protected by an idempotency record. */
  isRepeatable: boolean
  /** Upstream state would be lost: the request continues a transaction block. */
  isInTransaction: boolean
  deadline: number
}
