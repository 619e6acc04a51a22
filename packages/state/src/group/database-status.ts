import { z } from 'zod'
import { positionSchema } from '../position/position.js'

/** Status that a database reports in `platform_status()`. */
export const databaseStatusSchema = z.looseObject({
  database: z.string(),
  role: z.enum(['primary', 'replica']),
  /** The database rejects everything from terms lower than this one. */
  promisedTerm: z.number().int(),
  /** Term of the last log entry, and its position. */
  log: positionSchema,
  /** Position of the first entry of the log's term. */
  termStart: z.number().int(),
  /** Name of the primary that it follows, or its own. */
  primary: z.string().nullable(),
  /** Milliseconds since the replication link last carried anything; 0 at the primary. */
  linkSilentMs: z.number(),
  connections: z.number().int()
})

export type DatabaseStatus = z.infer<typeof databaseStatusSchema>
