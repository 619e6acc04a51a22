import { z } from 'zod'

/** Asks for tokens: entry to its control, control to the budget home of the organisation's partition. */
export const budgetRequest = {
  method: 'budget.request',
  params: z.looseObject({
    organisation: z.string(),
    /** Tokens wanted now. */
    wanted: z.number().nonnegative(),
    /** Tokens per second that the asker uses, for sizing the grant. */
    demandPerSecond: z.number().nonnegative(),
    /** Incarnation of the process that holds the tokens; a control that passes the request on fills it in. */
    holder: z.string().optional(),
    /** Grants of the asker that are spent, or partly unspent and given up. Frees their part of the burst. */
    closed: z.array(z.object({ grantId: z.string(), unspent: z.number().nonnegative() })).optional()
  }),
  result: z.looseObject({
    grantId: z.string(),
    tokens: z.number().nonnegative(),
    /** Tokens lapse this long after the request was sent, on the asker's clock. */
    validMs: z.number(),
    /** When tokens are short: time until more may be had. */
    retryAfterMs: z.number()
  })
} as const

export type BudgetRequestParams = z.infer<typeof budgetRequest.params>
export type BudgetRequestResult = z.infer<typeof budgetRequest.result>
