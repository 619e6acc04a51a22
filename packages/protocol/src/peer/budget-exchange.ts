import { z } from 'zod'

const tokensByOrganisation = z.record(z.string(), z.number())

/** Deposits tokens of some organisations at the budget home and requests tokens of others. */
export const budgetExchange = {
  method: 'budget.exchange',
  params: z.object({ deposits: tokensByOrganisation, wants: tokensByOrganisation }),
  result: z.object({ grants: tokensByOrganisation })
} as const
