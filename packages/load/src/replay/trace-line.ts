import { z } from 'zod'

const atMs = z.number().nonnegative().describe('Time since the trace began')

const headerSchema = z.strictObject({
  type: z.literal('trace'),
  name: z.string().min(1),
  summary: z.string().min(1),
  deployment: z.enum(['toll-ledger', 'order-desk']),
  seed: z.number().int(),
  groups: z.number().int().min(1).max(3).default(1),
  hosts: z.number().int().min(1).max(4).default(2),
  coldAdministration: z.boolean().default(false).describe('Whether the first call of the administration API happens during the trace'),
  /** Numbers of the guarantees that the trace covers; section 1.2 of the design lists them. */
  guarantees: z.array(z.number().int().min(1).max(13)).min(1)
})

const statementSchema = z.strictObject({
  type: z.literal('statement'),
  atMs,
  session: z.string().min(1),
  organisation: z.string(),
  class: z.string(),
  entry: z.string().optional().describe('Catalogue entry; absent means the one of the organisation and class'),
  host: z.string().optional(),
  token: z.boolean().default(true).describe('Whether the session presents its token when it moves to another host'),
  sql: z.string().min(1),
  kind: z.enum(['read', 'write', 'other']).default('other'),
  writes: z.array(z.string()).default([]),
  idempotencyKey: z.string().optional(),
  expect: z.enum(['run', 'not-run', 'unknown', 'any']).default('run'),
  sqlState: z.string().length(5).optional().describe('SQLSTATE that the answer must carry')
})

const loadSchema = z.strictObject({
  type: z.literal('load'),
  atMs,
  durationMs: z.number().positive().max(60_000),
  organisation: z.string(),
  class: z.string(),
  sessions: z.number().int().min(1).max(50),
  perSecond: z.number().positive().max(2000),
  host: z.string().optional().describe('The only host that the sessions use; absent means all'),
  moveShare: z.number().min(0).max(1).default(0.1)
})

const faultSchema = z.strictObject({
  type: z.literal('fault'),
  atMs,
  fault: z.enum([
    'cut-off', 'kill-database', 'lag', 'slow', 'heal', 'kill-host', 'kill-pool', 'kill-entry', 'kill-control', 'restart-host',
    'pause-pool', 'resume-pool', 'store-outage', 'store-lost-responses', 'store-slow', 'store-heal'
  ]),
  target: z.string().default('store').describe('A host, a database, or primary:GROUP or replica:GROUP as they are at that time'),
  milliseconds: z.number().nonnegative().optional().describe('Strength of lag and slow')
})

const changeSchema = z.strictObject({
  type: z.literal('change'),
  atMs,
  change: z.enum(['withdraw-key', 'issue-key', 'set-rate', 'database-leaves', 'host-leaves']),
  target: z.string(),
  value: z.number().positive().optional(),
  expect: z.enum(['accepted', 'rejected', 'any']).default('accepted')
})

const expectSchema = z.strictObject({
  type: z.literal('expect'),
  measure: z.enum([
    'violations', 'run', 'answered-share', 'failover-gap', 'false-rejections', 'refused', 'replica-share', 'worst-served', 'withdrawal', 'interrupted'
  ]),
  group: z.string().optional(),
  organisation: z.string().optional(),
  class: z.string().optional(),
  except: z.array(z.string()).default([]),
  fromMs: z.number().default(0),
  untilMs: z.number().default(Number.MAX_SAFE_INTEGER),
  atLeast: z.number().optional(),
  atMost: z.number().optional()
}).refine(({ atLeast, atMost }) => atLeast !== undefined || atMost !== undefined, 'an expect line needs atLeast or atMost')

/** One line of a recorded trace; docs/reference/traces.md describes the fields. */
export const traceLineSchema = z.discriminatedUnion('type', [headerSchema, statementSchema, loadSchema, faultSchema, changeSchema, expectSchema])

export type TraceLine = z.infer<typeof traceLineSchema>
