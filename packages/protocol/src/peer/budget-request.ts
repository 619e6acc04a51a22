import { z } from 'zod'

/** Request for tokens: from an entry to its control process, and from there to the budget home of the organisation's partition. */
export const budgetRequest = {
  method: 'budget.request',
  params: z.looseObject({
    organisation: z.string(),
    /** Tokens wanted now. */
    wanted: z.number().nonnegative(),
    /** Tokens per second that the requester uses; determines the size of the grant. */
    demandPerSecond: z.number().nonnegative(),
    /** Incarnation of the process that holds the tokens; set by a control process that forwards the request. */
    holder: z.string().optional(),
    /** Grants of the requester that are spent, or returned partly unspent. Closing them frees their part of the burst. */
    closed: z.array(z.object({ grantId: z.string(), unspent: z.number().nonnegative() })).optional()
  }),
  result: z.looseObject({
    grantId: z.string(),
    tokens: z.number().nonnegative(),
    /** Tokens expire this long after the request was sent, by the requester's clock. */
    validMs: z.number(),
    /** Time until more tokens may be available, when fewer than wanted were granted. */
    retryAfterMs: z.number()
  })
} as const

export type BudgetRequestParams = z.infer<typeof budgetRequest.params>
export type BudgetRequestResult = z.infer<typeof budgetRequest.result>
