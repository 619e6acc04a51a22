import { z } from 'zod'

/** Notification from the entry: the caller has consumed `bytes` of result chunks. */
export const executeCredit = {
  method: 'execute.credit',
  params: z.looseObject({ requestId: z.string(), bytes: z.number().int().positive() })
} as const

export type ExecuteCreditParams = z.infer<typeof executeCredit.params>
