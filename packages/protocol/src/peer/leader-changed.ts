import { z } from 'zod'

/** A database was promoted. A hint: the database itself decides at each statement. */
export const leaderChanged = {
  method: 'group.leader-changed',
  params: z.object({ group: z.string(), databaseId: z.string(), term: z.number().int() })
} as const
