import { z } from 'zod'

const memberFaultsSchema = z.strictObject({
  paused: z.boolean().default(false).describe('The database keeps its connections but sends no responses'),
  crashed: z.boolean().default(false).describe('Drops all connections and refuses new ones; false restarts it'),
  extraServiceMs: z.number().nonnegative().default(0).describe('Time added to each statement'),
  dropCommitAnswers: z.number().int().nonnegative().default(0)
    .describe('Number of next commits of writes that take effect but whose connection is closed without a response')
})

/** Faults of the databases of one process. `PUT /faults` replaces all of them; absent faults are off. */
export const databaseFaultsSchema = z.strictObject({
  partitions: z.array(z.strictObject({ from: z.string(), to: z.string() })).default([])
    .describe('Blocks replication messages from one database to another; * is any database'),
  lags: z.array(z.strictObject({ from: z.string(), to: z.string(), ms: z.number().nonnegative() })).default([])
    .describe('Delay before a replica applies entries; * is any database'),
  clients: z.array(z.strictObject({
    database: z.string().default('*'),
    address: z.string().default('*').describe('IP address of the client, a prefix that ends with a dot, or *'),
    direction: z.enum(['both', 'requests', 'answers']).default('both')
  })).default([]).describe('Clients whose requests or responses are blocked'),
  databases: z.record(z.string(), memberFaultsSchema).default({})
})

export type DatabaseFaults = z.infer<typeof databaseFaultsSchema>
