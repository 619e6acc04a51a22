import type { PromotionOrder } from './promotion-order.js'

export type PromotionAnswer =
  | { type: 'promoted' }
  /** A newer fencing token was used before, or the database is not running. */
  | { type: 'refused', reason: string }
  /** The request was rejected and had no effect. */
  | { type: 'rejected', reason: string }
  /** No response was received; the promotion may still take effect. */
  | { type: 'no-answer', reason: string }

/** Promotes a database to the primary of its group. */
export interface Promoter {
  promote(order: PromotionOrder, timeoutMs: number): Promise<PromotionAnswer>
}
