import { z } from 'zod'

/**
 * A budget home asks a host of the share table for its share of some partitions. The home counts `validMs` from before it
 * sent the request.
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
