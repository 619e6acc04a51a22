import { entrySchema } from '@tanagerusher/state/configuration/entry'
import { positionSchema } from '@tanagerusher/state/position/position'
import { z } from 'zod'

const binary = z.instanceof(Uint8Array)

/** Request and result of `execute`: an entry sends frontend messages that the pool runs at one database. */
export const execute = {
  method: 'execute',
  params: z.looseObject({
    /** Unique over the fleet and over restarts: incarnation of the entry and a counter. */
    requestId: z.string(),
    sessionId: z.string(),
    organisation: z.string(),
    weight: z.number(),
    entryName: z.string(),
    entry: entrySchema,
    group: z.string(),
    database: z.string(),
    access: z.enum(['read', 'write']),
    /** `none`: autocommit; `begin`: pins a connection to the session; `continue`: uses the pinned one. */
    transaction: z.enum(['none', 'begin', 'continue']),
    /** Lowest position that a read must see. Absent where bounded staleness applies and the session has no floor. */
    floor: positionSchema.nullable(),
    maximumAgeMs: z.number().optional(),
    /** Time left, in ms, before the caller's deadline. */
    deadlineMs: z.number(),
    idempotencyKey: z.string().optional(),
    traceparent: z.string().optional(),
    /** Complete frontend messages: one Query, or extended messages that end with Sync. */
    frames: binary,
    /** Parse messages of named statements that `frames` use; the pool prepares them where they are missing. */
    statements: z.array(z.object({ name: z.string(), parse: binary })).default([]),
    /** Bytes of result chunks that may be in flight before `execute.credit` adds more. */
    windowBytes: z.number().int().positive()
  }),
  result: z.looseObject({
    /** Backend messages after the last chunk, without ReadyForQuery. */
    frames: binary,
    transactionStatus: z.enum(['I', 'T', 'E']),
    /** Position that the session has now seen in the group. */
    position: positionSchema.nullable(),
    /** Number of chunks sent before; the entry checks that it got all. */
    chunks: z.number().int()
  })
} as const

export type ExecuteParams = z.infer<typeof execute.params>
export type ExecuteResult = z.infer<typeof execute.result>
