import { z } from 'zod'

/** The session ended or abandoned its transaction: the pool rolls back and destroys the pinned connection. */
export const release = {
  method: 'release',
  params: z.looseObject({ sessionId: z.string() }),
  result: z.looseObject({})
} as const

export type ReleaseParams = z.infer<typeof release.params>
