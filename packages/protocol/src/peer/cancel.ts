import { z } from 'zod'

/** The caller cancelled a request. Cancels upstream only while exactly this request runs. */
export const cancel = {
  method: 'cancel',
  params: z.looseObject({ requestId: z.string() }),
  result: z.looseObject({ cancelled: z.boolean() })
} as const

export type CancelParams = z.infer<typeof cancel.params>
