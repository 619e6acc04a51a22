import { z } from 'zod'

/** Status of an entry or a pool, sent to its control process every second. `figures` are shown to operators by name. */
export const statusReport = {
  method: 'status.report',
  params: z.looseObject({
    role: z.enum(['entry', 'pool']),
    configurationVersion: z.number().int(),
    /** Requests and transactions that still run, for the graceful shutdown. */
    remaining: z.number().int().nonnegative().default(0),
    figures: z.record(z.string(), z.number()).default({}),
    /** Statements per second by organisation. */
    organisations: z.record(z.string(), z.number()).default({})
  }),
  result: z.looseObject({})
} as const

export type StatusReportParams = z.infer<typeof statusReport.params>
