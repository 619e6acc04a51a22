import { z } from 'zod'

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected ip:port')

/** Settings of a host that runs everything in one process. */
export const hostSettings = z.looseObject({
  host: z.string().min(1).describe('Name of the host, unique in the fleet'),
  address: z.ipv4().describe('IP address that peers use'),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  regions: z.record(z.string(), z.string()).describe('Region of each data centre'),
  callerAddress: address.describe('Address on which callers connect; with port 0 the system chooses one, and the log line `started` gives it'),
  readinessAddress: address.describe('Address of the readiness check of the load balancer; port 0 as above'),
  internalPorts: z.tuple([z.number().int(), z.number().int()]).describe('First and last port for peers; the first is used; 0 as above'),
  storeAddress: address.describe('Object store of the platform'),
  promotionAddress: address.describe('Promotion endpoint of the platform'),
  graceSeconds: z.number().positive().default(6).describe('Time between the signal to stop and the end of the process'),
  keyFreshnessMs: z.number().positive().default(5000).describe('A withdrawn key stops working within this time'),
  rateSlack: z.number().nonnegative().default(0).describe('Requests of an organisation over its rate that are accepted in a window'),
  promotionStopsPrimary: z.boolean().default(false).describe('The platform compares fencing tokens and a promotion stops the old primary immediately; false: the old primary may keep serving, and primary leases expire'),
  evacuateMs: z.number().positive().optional().describe('Time within which the databases of an evacuated data centre receive no more requests; evacuations are not watched when absent'),
  learnCapacity: z.boolean().default(true).describe('Whether owners of connections learn how many statements each database runs well at a time, and reads go round slow databases'),
  warmupExcess: z.number().positive().default(1).describe('Factor by which the operators tolerate that a cold database exceeds the requests per second of its group; a margin that no decision uses'),
  warmupSlack: z.number().nonnegative().default(0).describe('Requests in a second that the operators tolerate beyond that; a margin that no decision uses'),
  linkMbps: z.number().positive().default(1000).describe('Bandwidth of the host\'s network link; hosts with more of it are chosen first as relays of the store and as owners of connections'),
  metricsPort: z.number().int().optional().describe('Port of /metrics; not served when absent; 0 as above'),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})

export type HostSettings = z.infer<typeof hostSettings>
