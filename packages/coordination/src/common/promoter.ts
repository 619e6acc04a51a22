import type { PromotionOrder } from './promotion-order.js'

export type PromotionAnswer =
  | { type: 'promoted' }
  /** A newer token was seen, or the database does not run. */
  | { type: 'refused', reason: string }
  /** Nothing was done. */
  | { type: 'rejected', reason: string }
  /** It may be done later. */
  | { type: 'no-answer', reason: string }

/** Orders a database to lead its group. */
export interface Promoter {
  promote(order: PromotionOrder, timeoutMs: number): Promise<PromotionAnswer>
}
