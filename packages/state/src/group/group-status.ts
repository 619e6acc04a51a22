import { z } from 'zod'
import { positionSchema } from '../position/position.js'

const memberSchema = z.looseObject({
  database: z.string(),
  role: z.enum(['primary', 'replica']),
  log: positionSchema,
  promisedTerm: z.number().int(),
  reachable: z.boolean(),
  /** Number of requests that run or wait at the owner of the database. */
  load: z.number(),
  /** Milliseconds between the observation and the sending of this status. */
  observedAgeMs: z.number(),
  /** Age of the data: time since the primary was at the position that this database holds. Absent when unknown. */
  dataAgeMs: z.number().optional()
})

/** State of an upstream group as a pool observes it; pools send it to the entries that watch the group. */
export const groupStatusSchema = z.looseObject({
  group: z.string(),
  /** Highest known term. */
  term: z.number().int(),
  primary: z.string().nullable(),
  members: z.array(memberSchema)
})

export type GroupStatus = z.infer<typeof groupStatusSchema>
