import { z } from 'zod'

/** Catalogue entry: the name that callers connect to as their database. */
export const entrySchema = z.looseObject({
  owner: z.string().nullable().describe('Organisation that may use the entry; null when open to all'),
  group: z.string().min(1).describe('Upstream group that serves the entry'),
  class: z.enum(['critical', 'interactive', 'deferred']).default('interactive'),
  repeatable: z.boolean().default(false).describe('Whether work may run again after its outcome became unknown'),
  readsOnReplicas: z.boolean().default(true),
  maximumAgeMs: z.number().nonnegative().optional().describe('Staleness that reads accept, in ms; absent means read-your-writes'),
  statementDeadlineMs: z.number().positive().default(10_000),
  idleTransactionTimeoutMs: z.number().positive().default(10_000),
  maximumQueued: z.number().int().positive().default(1000).describe('Requests that may wait for a slot per organisation')
})

export type Entry = z.infer<typeof entrySchema>
