import { z } from 'zod'

const databaseSchema = z.looseObject({
  name: z.string().min(1),
  host: z.string(),
  port: z.number().int().min(1).max(65535),
  dataCentre: z.string(),
  region: z.string(),
  slots: z.number().int().positive().default(3).describe('Statements that run at a time'),
  connections: z.number().int().positive().default(20).describe('Connection limit of the database'),
  leaving: z.boolean().default(false).describe('A leaving database gets no new work')
})

/** Upstream group: databases that replicate one log. */
export const groupSchema = z.looseObject({
  databases: z.array(databaseSchema).min(1),
  databaseName: z.string().default('ledger').describe('Name of the database at the upstream'),
  user: z.string().default('proxy').describe("The proxy's own credential; never a caller's key"),
  password: z.string().default('proxy'),
  wantedPrimary: z.string().optional().describe('Planned primary: the owner promotes this member as soon as it has caught up')
})

export type Group = z.infer<typeof groupSchema>
