import { z } from 'zod'

/** Liveness of a peer connection; the answer carries what every host wants to know. */
export const hostPing = {
  method: 'host.ping',
  params: z.object({}),
  result: z.object({
    isLeaving: z.boolean(),
    catalogueVersion: z.number(),
    /** Time since the catalogue was last proven to be the newest. */
    proofAgeMs: z.number()
  })
} as const
