import { z } from 'zod'

/**
 * The former home of partitions tells the next one what is still out in grants. The next home counts these tokens against
 * the burst until the grants lapse. Only after the answer does the former home release the delegations.
 */
export const budgetHandOver = {
  method: 'budget.hand-over',
  params: z.looseObject({ outstanding: z.array(z.object({ organisation: z.string(), tokens: z.number().nonnegative() })) }),
  result: z.looseObject({})
} as const
