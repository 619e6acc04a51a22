import { z } from 'zod'

/**
 * The claim of a group has changed. While it has not ended, the receiver gives up its right to use the group's primary and
 * answers when nothing that it sent with that right is under way any more.
 */
export const promotionNotice = {
  method: 'promotion.notice',
  params: z.object({
    group: z.string(),
    /** Object of the group in the store, and its version. */
    claim: z.unknown(),
    revision: z.number().int(),
    /** Time for what is under way and for open transactions to end. */
    quiesceMs: z.number().nonnegative()
  }),
  result: z.object({})
} as const
