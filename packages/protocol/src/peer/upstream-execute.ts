import { positionSchema } from '@tanagerusher/state/position/position'
import { z } from 'zod'

const access = z.enum(['read', 'write'])

const operation = z.discriminatedUnion('type', [
  z.object({ type: z.literal('begin'), isReadOnly: z.boolean() }),
  z.object({
    type: z.literal('run'),
    id: z.string(),
    text: z.string(),
    access,
    /** `opens`: the transaction begins with this statement; `joins`: it is open. */
    transaction: z.enum(['none', 'opens', 'joins']),
    isReadOnly: z.boolean()
  }),
  z.object({ type: z.literal('commit'), id: z.string() }),
  z.object({ type: z.literal('rollback') })
])

const failure = z.enum([
  'busy', 'unknown-statement', 'lagging', 'not-primary', 'wrong-upstream', 'connection-limit', 'failed', 'timeout', 'aborted', 'outcome-unknown',
  'entry-unknown', 'key-unknown', 'malformed'
])

const answer = z.discriminatedUnion('type', [
  z.object({ type: z.literal('done'), proof: z.string(), rows: z.array(z.string()), position: positionSchema.optional() }),
  z.object({ type: z.literal('failed'), failure, text: z.string(), position: positionSchema.optional() }),
  z.object({ type: z.literal('lost'), reason: z.string() })
])

/** Runs one operation of a caller's session at a database whose connections the receiving host owns. */
export const upstreamExecute = {
  method: 'upstream.execute',
  params: z.object({
    /** Unique in the fleet; pins a transaction to its connection. */
    session: z.string(),
    databaseId: z.string(),
    organisation: z.string(),
    /** Database name of the catalogue entry; absent from hosts of an earlier version, whose operations are not checked again. */
    entry: z.string().optional(),
    /** Version of the catalogue by which the sender chose the database. */
    catalogueVersion: z.number().optional(),
    operation,
    values: z.array(z.tuple([z.string(), z.string()])),
    needed: z.object({ name: z.string(), access, shape: z.string() }).optional(),
    /** When absent, the database must be confirmed to be the primary. */
    replicaRead: z.object({ maxStalenessMs: z.number(), floor: positionSchema.optional() }).optional(),
    timeLeftMs: z.number(),
    priority: z.number().int()
  }),
  result: z.object({
    answer,
    /** Whether the statement was sent to the database. */
    wasSent: z.boolean(),
    /** Nothing was sent because this owner lacks a confirmation that other owners may have. */
    isOwnerUnable: z.boolean().optional(),
    /** Time that another statement is expected to wait at this owner. */
    waitMs: z.number(),
    /** Time from sending a read of the same priority to its response; absent when unknown or when the owner is a host of an earlier version. */
    serviceMs: z.number().optional()
  })
} as const

export type UpstreamExecuteParams = z.infer<typeof upstreamExecute.params>
export type UpstreamExecuteResult = z.infer<typeof upstreamExecute.result>
