import { z } from 'zod'

/**
 * Sent by a budget home to a host of the share table: requests the delegation of that host's share of some partitions. The home
 * counts `validMs` from a time before it sent the request.
 */
export const budgetDelegate = {
  method: 'budget.delegate',
  params: z.looseObject({
    /** Incarnation of the home. */
    home: z.string(),
    /** Rises with each request of this home; orders requests and releases. */
    sequence: z.number().int(),
    partitions: z.array(z.number().int())
  }),
  result: z.looseObject({
    incarnation: z.string(),
    fraction: z.number().min(0).max(1),
    validMs: z.number().nonnegative(),
    /** Those of the partitions that are now delegated to the home. */
    partitions: z.array(z.number().int())
  })
} as const

export type BudgetDelegateParams = z.infer<typeof budgetDelegate.params>
export type BudgetDelegateResult = z.infer<typeof budgetDelegate.result>
