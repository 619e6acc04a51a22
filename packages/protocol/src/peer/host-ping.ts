import { z } from 'zod'

const relayedState = z.object({ revision: z.number(), digest: z.number(), ageMs: z.number(), returnAgeMs: z.number() })

/** Liveness of a peer connection; the answer carries the state of the copies that hosts take from each other. */
export const hostPing = {
  method: 'host.ping',
  params: z.object({}),
  result: z.object({ isLeaving: z.boolean(), copies: z.record(z.string(), relayedState) })
} as const
