import { z } from 'zod'

/** A budget home gave partitions up. Delegations of its requests up to `sequence` end at once. */
export const budgetRelease = {
  method: 'budget.release',
  params: z.looseObject({
    home: z.string(),
    sequence: z.number().int(),
    partitions: z.array(z.number().int()),
    /** Incarnation of the home that was told of the grants still out; absent when none are. */
    next: z.string().optional()
  }),
  result: z.looseObject({})
} as const
