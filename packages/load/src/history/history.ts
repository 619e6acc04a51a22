import { z } from 'zod'
import { operationSchema } from './operation.js'

const organisationSchema = z.object({ rate: z.number().positive(), burst: z.number().positive() })
const entrySchema = z.object({ owner: z.string().nullable() })

/** Everything that the outcome checkers decide on: what callers saw, what operators did and what the databases hold. */
export const historySchema = z.object({
  operations: z.array(operationSchema),
  /** Rows that the primaries of all groups hold after the run, one element a row; a doubled row occurs twice. */
  ledger: z.array(z.object({ id: z.string(), session: z.string(), group: z.string() })),
  organisations: z.record(z.string(), organisationSchema),
  entries: z.record(z.string(), entrySchema),
  /** Time at which the withdrawal of a key was accepted. */
  withdrawals: z.array(z.object({ key: z.string(), atMs: z.number() })).default([]),
  /** Time at which each fault began. */
  faults: z.array(z.object({ type: z.string(), target: z.string(), atMs: z.number() })).default([])
})

export type History = z.infer<typeof historySchema>
