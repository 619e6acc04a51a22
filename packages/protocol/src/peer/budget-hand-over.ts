import { z } from 'zod'

/**
 * Sent by the former budget home of partitions to the next one: the tokens in grants that are still outstanding. The next home
 * counts these tokens against the burst until the grants expire. The former home releases the delegations only after the
 * response.
 */
export const budgetHandOver = {
  method: 'budget.hand-over',
  params: z.looseObject({ outstanding: z.array(z.object({ organisation: z.string(), tokens: z.number().nonnegative() })) }),
  result: z.looseObject({})
} as const
