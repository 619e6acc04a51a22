import { z } from 'zod'

/** A CancelRequest of a caller, forwarded to the entry that issued the process identifier and secret. */
export const cancelSession = {
  method: 'cancel-session',
  params: z.looseObject({ processId: z.number().int(), secret: z.number().int() }),
  result: z.looseObject({ cancelled: z.boolean() })
} as const

export type CancelSessionParams = z.infer<typeof cancelSession.params>
