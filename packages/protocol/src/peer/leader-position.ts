import { positionSchema } from '@tanagerusher/state/position/position'
import { z } from 'zod'

/** Requests the newest confirmed position of a primary from the owner of its connections. */
export const leaderPosition = {
  method: 'upstream.leader-position',
  params: z.object({ databaseId: z.string() }),
  result: z.object({
    position: positionSchema.optional(),
    /** Time since the request that confirmed it was sent to the database. */
    ageMs: z.number()
  })
} as const
