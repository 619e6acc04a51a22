import { z } from 'zod'
import { positionSchema } from '../position/position.js'

const memberSchema = z.looseObject({
  database: z.string(),
  role: z.enum(['primary', 'replica']),
  log: positionSchema,
  promisedTerm: z.number().int(),
  reachable: z.boolean(),
  /** Requests that run or wait at the owner. */
  load: z.number(),
  /** Milliseconds between the observation and the sending of this status. */
  observedAgeMs: z.number(),
  /** Age of the data: time since the primary's position was what this database holds. Absent when not known. */
  dataAgeMs: z.number().optional()
})

/** State of an upstream group as a pool sees it; pools send it to the entries that asked. */
export const groupStatusSchema = z.looseObject({
  group: z.string(),
  /** Highest known term. */
  term: z.number().int(),
  primary: z.string().nullable(),
  members: z.array(memberSchema)
})

export type GroupStatus = z.infer<typeof groupStatusSchema>
