import { z } from 'zod'

const amounts = z.record(z.string(), z.number())

/** A host deposits tokens at the budget home and asks for others. */
export const budgetExchange = {
  method: 'budget.exchange',
  params: z.object({ deposits: amounts, wants: amounts }),
  result: z.object({ grants: amounts })
} as const
