import { z } from 'zod'

/** Far above every sequence and term, and low enough that the next one is an exact integer. */
const MAX_COUNTER = 2 ** 50

/** Store object that claims the promotion of a group. The revision of its last write is the fencing token of the host that wrote it. */
export const promotionClaim = z.looseObject({
  host: z.string(),
  incarnation: z.string(),
  /** Increases with every write of the holder, which shows whether a write that got no response took effect. */
  sequence: z.number().int().max(MAX_COUNTER),
  /**
   * `claimed`: the primary leases of all hosts are withdrawn. `called`: the promotion endpoint has been or may still be called for
   * `successor`. `ended`: `leader` leads.
   */
  phase: z.enum(['claimed', 'called', 'ended']),
  /** Database that leads once the promotion has ended, before that the previous leader; absent: the one that reports itself as primary. */
  leader: z.string().optional(),
  /** Term of `leader` after a promotion. */
  term: z.number().int().max(MAX_COUNTER).optional(),
  /** Database that a call named. Kept after the end only if a call got no response and may still take effect. */
  successor: z.string().optional()
})

export type PromotionClaim = z.infer<typeof promotionClaim>
