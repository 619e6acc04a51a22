import { z } from 'zod'

/** Settings of `tanagerusher-store`. */
export const storeSettingsSchema = z.strictObject({
  address: z.ipv4().default('127.0.0.1').describe('IP address of the object API and of the control port'),
  port: z.number().int().min(0).max(65535).default(7400).describe('Port of the object API; 0 lets the system choose'),
  controlPort: z.number().int().min(0).max(65535).default(7401).describe('Port of GET and PUT /faults; 0 lets the system choose'),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  readsPerSecond: z.number().positive().default(2000).describe('Call budget for reads, lists, host lists and watches'),
  writesPerSecond: z.number().positive().default(300).describe('Call budget for conditional updates and removals'),
  burstSeconds: z.number().positive().default(1).describe('Seconds of budget that may be used at once'),
  maximumValueBytes: z.number().int().positive().default(1_048_576),
  maximumWatchMs: z.number().int().positive().default(60_000).describe('Longest time a watch may wait'),
  answerDelayMs: z.number().nonnegative().default(0).describe('Time added to every answer: the round trip to the store'),
  hostListDelayMs: z.number().nonnegative().default(2000).describe('Age of the host list that GET /v1/hosts returns'),
  hostTimeoutMs: z.number().nonnegative().default(0).describe('A registered host is removed this long after its last registration; 0 keeps it'),
  hosts: z.array(z.strictObject({
    host: z.string().min(1),
    address: z.ipv4(),
    port: z.number().int().min(1).max(65535),
    leaving: z.boolean().default(false)
  })).default([]).describe('Hosts that are on the list from the start; they do not time out'),
  objects: z.array(z.strictObject({
    kind: z.string().min(1),
    name: z.string().min(1),
    value: z.unknown()
  })).default([]).describe('Objects that exist from the start')
})

export type StoreSettings = z.infer<typeof storeSettingsSchema>
