import { z } from 'zod'

/** Object of a group in the store. The revision of its last write is the fencing token of the host that wrote it. */
export const promotionClaim = z.looseObject({
  host: z.string(),
  incarnation: z.string(),
  /** The promotion has ended, or was given up. */
  isEnded: z.boolean()
})

export type PromotionClaim = z.infer<typeof promotionClaim>
