import type { PromotionRequest } from './promotion-request.js'

export type PromotionResult =
  | { type: 'promoted' }
  /** A newer fencing token was used before, or the database is not running. */
  | { type: 'refused', reason: string }
  /** The request was rejected and had no effect. */
  | { type: 'rejected', reason: string }
  /** No response was received; the promotion may still take effect. */
  | { type: 'no-answer', reason: string }

/** Promotes a database to the primary of its group. */
export interface Promoter {
  promote(request: PromotionRequest, timeoutMs: number): Promise<PromotionResult>
}
