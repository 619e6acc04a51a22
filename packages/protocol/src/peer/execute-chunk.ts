import { z } from 'zod'

/** Notification from the pool: the next part of a large result. */
export const executeChunk = {
  method: 'execute.chunk',
  params: z.looseObject({ requestId: z.string(), sequence: z.number().int(), frames: z.instanceof(Uint8Array) })
} as const

export type ExecuteChunkParams = z.infer<typeof executeChunk.params>
