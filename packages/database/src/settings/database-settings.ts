import { z } from 'zod'
import { tableDefinitionSchema } from '../ledger/table-definition.js'
import { defaultTables } from './default-tables.js'

const port = z.number().int().min(0).max(65535)

const memberSchema = z.strictObject({
  name: z.string().min(1),
  address: z.ipv4().default('127.0.0.1'),
  port: port.describe('Port of the PostgreSQL protocol; 0 lets the system choose'),
  replicationPort: port.describe('Port of the replicated log; 0 lets the system choose'),
  dataCentre: z.string().default('dc1'),
  region: z.string().default('r1')
})

const networkSchema = z.strictObject({
  betweenDataCentresMs: z.number().nonnegative().default(0).describe('One-way latency between data centres of a region'),
  betweenRegionsMs: z.number().nonnegative().default(0).describe('One-way latency between regions'),
  clients: z.array(z.strictObject({
    prefix: z.string().describe('Start of the IP addresses, such as 127.0.2.'),
    dataCentre: z.string(),
    region: z.string()
  })).default([]).describe('Locations of clients; an address that matches no prefix has no latency to any database')
})

/** Settings of `tanagerusher-database`: one process serves one or more databases of a group. */
export const databaseSettingsSchema = z.strictObject({
  group: z.string().min(1),
  members: z.array(memberSchema).min(1).describe('All databases of the group, also those that other processes serve'),
  serves: z.array(z.string()).optional().describe('Databases that this process serves; absent means all'),
  primary: z.string().optional().describe('Primary of term 1; absent means the first member'),
  databaseName: z.string().default('ledger'),
  authentication: z.enum(['trust', 'password', 'scram-sha-256']).default('scram-sha-256'),
  user: z.string().default('proxy'),
  password: z.string().default('proxy'),
  slots: z.number().int().positive().default(3).describe('Number of statements and open transactions that run concurrently'),
  connections: z.number().int().positive().default(20).describe('Connection limit; further connections are refused with 53300'),
  reservedConnections: z.number().int().nonnegative().default(10)
    .describe('Connections above the limit for application_name tanagerusher-control, so that control functions work when the limit is reached'),
  connectionSetupMs: z.number().nonnegative().default(0).describe('Time that a new connection takes'),
  serviceTimeMs: z.number().nonnegative().default(0).describe('Time that a statement occupies its slot'),
  heartbeatMs: z.number().int().positive().default(100).describe('Interval of messages on an idle replication link'),
  network: networkSchema.prefault({}),
  tables: z.array(tableDefinitionSchema).default(defaultTables).describe('Tables of the first log entry; must be equal at all members'),
  dataDirectory: z.string().optional().describe('Directory for the log; absent keeps it in memory'),
  control: z.strictObject({
    address: z.ipv4().default('127.0.0.1'),
    port: port.default(7500).describe('Port of GET and PUT /faults; 0 lets the system choose')
  }).prefault({}),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
}).superRefine(({ members, serves = [], primary }, context) => {
  const names = members.map(({ name }) => name)
  const report = (path: string, name: string): void => { context.addIssue({ code: 'custom', path: [path], message: `${name} is not among members` }) }
  for (const name of serves) if (!names.includes(name)) report('serves', name)
  if (primary !== undefined && !names.includes(primary)) report('primary', primary)
  if (new Set(names).size < names.length) context.addIssue({ code: 'custom', path: ['members'], message: 'names are not unique' })
})

export type DatabaseSettings = z.infer<typeof databaseSettingsSchema>
