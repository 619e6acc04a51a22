import { z } from 'zod'

/** A budget home released partitions. Delegations made for its requests up to `sequence` end immediately. */
export const budgetRelease = {
  method: 'budget.release',
  params: z.looseObject({
    home: z.string(),
    sequence: z.number().int(),
    partitions: z.array(z.number().int()),
    /** Incarnation of the home that received the outstanding grants with `budget.hand-over`; absent when none are outstanding. */
    next: z.string().optional()
  }),
  result: z.looseObject({})
} as const
