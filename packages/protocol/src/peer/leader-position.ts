import { positionSchema } from '@tanagerusher/state/position/position'
import { z } from 'zod'

/** Asks the owner of a primary for the newest position that it proved. */
export const leaderPosition = {
  method: 'upstream.leader-position',
  params: z.object({ databaseId: z.string() }),
  result: z.object({
    position: positionSchema.optional(),
    /** Time since the request that proved it was sent to the database. */
    ageMs: z.number()
  })
} as const
