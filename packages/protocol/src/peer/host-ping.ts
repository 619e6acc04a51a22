import { z } from 'zod'

const copyState = z.object({ era: z.number().default(0), revision: z.number(), digest: z.number(), ageMs: z.number(), returnAgeMs: z.number() })

/** Checks that a peer connection is alive; the response carries the state of the copies that hosts fetch from each other. */
export const hostPing = {
  method: 'host.ping',
  params: z.object({}),
  result: z.object({ isLeaving: z.boolean(), copies: z.record(z.string(), copyState) })
} as const
