import { z } from 'zod'

/** Point in a group's log, ordered by term first. Positions count log entries. */
export const positionSchema = z.object({ term: z.number().int().nonnegative(), position: z.number().int().nonnegative() })

export type Position = z.infer<typeof positionSchema>
