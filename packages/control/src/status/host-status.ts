import { z } from 'zod'

/** Status of one host as returned to operators. */
export const hostStatusSchema = z.looseObject({
  host: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  state: z.enum(['starting', 'serving', 'leaving', 'unreachable']),
  /** Lowest configuration version that any process of the host uses. */
  configurationVersion: z.number().int(),
  confirmedAgeMs: z.number().nullable(),
  storeAgeMs: z.number().nullable(),
  shareFraction: z.number(),
  partitions: z.number().int(),
  processes: z.array(z.looseObject({
    role: z.enum(['entry', 'pool']),
    configurationVersion: z.number().int().nullable(),
    remaining: z.number().int().nullable(),
    figures: z.record(z.string(), z.number()),
    organisations: z.record(z.string(), z.number())
  }))
})

export type HostStatus = z.infer<typeof hostStatusSchema>
