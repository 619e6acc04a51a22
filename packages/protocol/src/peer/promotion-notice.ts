import { z } from 'zod'

/**
 * Reports a change of the claim of a group. Unless the claim has ended, the receiver releases its lease of the group's primary
 * and responds once nothing that it sent under that lease is in flight.
 */
export const promotionNotice = {
  method: 'promotion.notice',
  params: z.object({
    group: z.string(),
    /** Claim object of the group in the store; `era` and `revision` are its version. */
    claim: z.unknown(),
    era: z.number().int(),
    revision: z.number().int(),
    /** Time that requests in flight and open transactions have to end. */
    quiesceMs: z.number().nonnegative()
  }),
  result: z.object({})
} as const
