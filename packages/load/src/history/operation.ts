import { z } from 'zod'

/**
 * One piece of work that a caller sent: an autocommit statement or a whole transaction. Times are in milliseconds of the
 * clock of the load process, which all operations share. `outcome` is the one that was reported to the caller: `run` (it
 * received a result), `not-run` or `unknown`.
 */
export const operationSchema = z.object({
  id: z.string(),
  session: z.string(),
  organisation: z.string(),
  /** Identity of the key that the session logged in with, for example `kask#1`; the number is its generation. */
  key: z.string(),
  host: z.string(),
  entry: z.string(),
  group: z.string(),
  kind: z.enum(['read', 'write', 'transaction']),
  startMs: z.number(),
  endMs: z.number(),
  /** Scheduled send time in an open loop. Latency counts from here, so that queueing in the caller is included. */
  dueMs: z.number().optional(),
  outcome: z.enum(['run', 'not-run', 'unknown']),
  sqlState: z.string().optional(),
  message: z.string().optional(),
  /** Statements that count against the rate. */
  statements: z.number().int().nonnegative().default(1),
  /** Identifiers of the rows that the work inserts, unique in the whole run. */
  writes: z.array(z.string()).default([]),
  /** Whether the caller rolled the transaction back on purpose. The databases may then hold none of `writes`. */
  rolledBack: z.boolean().default(false),
  /** Identifiers of the rows of its own session that a read returned. */
  observed: z.array(z.string()).optional(),
  /** Marker in the request, which the response must repeat. `answerMarker` is the marker in the response. */
  marker: z.string().optional(),
  answerMarker: z.string().optional(),
  /** Whether the read accepts bounded staleness; it is then exempt from read-your-writes. */
  acceptsStale: z.boolean().default(false),
  /** Role of the database that served the work; absent when the response does not contain it. */
  servedBy: z.enum(['primary', 'replica']).optional()
})

export type Operation = z.infer<typeof operationSchema>
