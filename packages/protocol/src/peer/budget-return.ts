import { z } from 'zod'

/** Returns unspent tokens of a grant before it expires. A repeated return of one grant is ignored. */
export const budgetReturn = {
  method: 'budget.return',
  params: z.looseObject({ organisation: z.string(), grantId: z.string(), tokens: z.number().nonnegative() }),
  result: z.looseObject({})
} as const
