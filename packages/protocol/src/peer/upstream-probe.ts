import { z } from 'zod'

/** Checks whether a host reaches a database. */
export const upstreamProbe = {
  method: 'upstream.probe',
  params: z.object({ databaseId: z.string() }),
  result: z.object({ isReachable: z.boolean() })
} as const
