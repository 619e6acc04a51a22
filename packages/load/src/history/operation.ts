import { z } from 'zod'

/**
 * One piece of work that a caller sent: an autocommit statement or a whole transaction. Times are milliseconds of the one
 * clock of the load process. `outcome` is what the caller was told: `run` (an answer), `not-run` or `unknown`.
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
  /** When an open loop wanted to send the work; latency counts from here. */
  dueMs: z.number().optional(),
  outcome: z.enum(['run', 'not-run', 'unknown']),
  sqlState: z.string().optional(),
  message: z.string().optional(),
  /** Statements that count against the rate. */
  statements: z.number().int().nonnegative().default(1),
  /** Identifiers of the rows that the work inserts; they are unique over the whole run. */
  writes: z.array(z.string()).default([]),
  /** A transaction that its caller rolled back on purpose: none of `writes` may remain. */
  rolledBack: z.boolean().default(false),
  /** Identifiers that a read returned of the rows that belong to its session. */
  observed: z.array(z.string()).optional(),
  /** Marker in the request that the answer must repeat, and the marker that the answer carried. */
  marker: z.string().optional(),
  answerMarker: z.string().optional(),
  /** Whether the read accepts bounded staleness; it is then exempt from read-your-writes. */
  acceptsStale: z.boolean().default(false),
  /** Role of the database that answered, where the answer tells. */
  servedBy: z.enum(['primary', 'replica']).optional()
})

export type Operation = z.infer<typeof operationSchema>
