import { z } from 'zod'

/** Object of a group in the store. The revision of its last write is the fencing token of the host that wrote it. */
export const promotionClaim = z.looseObject({
  host: z.string(),
  incarnation: z.string(),
  /** Rises with every write of the holder, so that a write without an answer is recognised when it was carried out. */
  sequence: z.number().int(),
  /**
   * `claimed`: the right to use the primary is withdrawn from all hosts. `called`: the promotion endpoint may have been called
   * for `successor`, also later than now. `ended`: `leader` leads.
   */
  phase: z.enum(['claimed', 'called', 'ended']),
  /** Database that leads after the end, until then the one before; absent: the one that the databases themselves name. */
  leader: z.string().optional(),
  /** Term of `leader` after a promotion. */
  term: z.number().int().optional(),
  /** Database that a call named; after the end only if a call had no answer and may still be carried out. */
  successor: z.string().optional()
})

export type PromotionClaim = z.infer<typeof promotionClaim>
