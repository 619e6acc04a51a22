import { z } from 'zod'

/** Settings that every process of a host has in common: identity and addresses. */
export const hostSettingsSchema = z.object({
  host: z.string().min(1).describe('Name of the host, unique in the fleet'),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  address: z.ipv4().default('127.0.0.1').describe('IP address that the process listens on and that peers use'),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
  tls: z.object({
    certificateFile: z.string(),
    keyFile: z.string(),
    authorityFile: z.string()
  }).optional().describe("Fleet certificate for mutual TLS between the system's processes"),
  trace: z.object({
    sampleRatio: z.number().min(0).max(1).default(0),
    otlpUrl: z.url().optional(),
    file: z.string().optional()
  }).prefault({})
})

export type HostSettings = z.infer<typeof hostSettingsSchema>
