import { z } from 'zod'
import { operationSchema } from './operation.js'

const organisationSchema = z.object({ rate: z.number().positive(), burst: z.number().positive() })
const entrySchema = z.object({ owner: z.string().nullable() })

/** Input of all checks: the operations of the callers, the actions of operators, the faults and the rows that the databases hold. */
export const historySchema = z.object({
  operations: z.array(operationSchema),
  /** Rows that the primaries of all groups hold after the run, one element per row. A row that was written twice occurs twice. */
  ledger: z.array(z.object({ id: z.string(), session: z.string(), group: z.string() })),
  organisations: z.record(z.string(), organisationSchema),
  entries: z.record(z.string(), entrySchema),
  /** Times at which the withdrawals of keys were accepted. */
  withdrawals: z.array(z.object({ key: z.string(), atMs: z.number() })).default([]),
  /** Times at which the faults began. */
  faults: z.array(z.object({ type: z.string(), target: z.string(), atMs: z.number() })).default([])
})

export type History = z.infer<typeof historySchema>
