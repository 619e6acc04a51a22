import { hostSettingsSchema } from '@tanagerusher/runtime/settings/host-settings'
import { z } from 'zod'

const portSchema = z.number().int().min(0).max(65535)

/** Settings of `tanagerusher-control`. */
export const controlSettingsSchema = hostSettingsSchema.extend({
  port: portSchema.default(7100).describe('Port for peers, entries and pools; 0 lets the system choose'),
  storeUrl: z.url().describe("Base address of the platform's object API"),
  peers: z.array(z.object({ host: z.ipv4(), port: portSchema })).default([]).describe('Control addresses of some other hosts, to find the fleet while the store is unavailable'),
  administration: z.object({
    port: portSchema.default(7180).describe('Port of the administration API; 0 lets the system choose'),
    address: z.ipv4().optional().describe('IP address of the administration API; that of the host when absent'),
    rootCredentialFile: z.string().optional().describe('File with the credential of operator root, which may change everything')
  }).prefault({}),
  snapshotFile: z.string().optional().describe('Control-state snapshot that is read at start, for the case that neither store nor peers answer'),
  drain: z.object({
    announceMs: z.number().nonnegative().default(1000).describe('Time for the announcement of leaving to reach peers and the balancer, in ms'),
    finishMs: z.number().nonnegative().default(15_000).describe('Longest wait for entry and pool to finish, in ms')
  }).prefault({})
})

export type ControlSettings = z.infer<typeof controlSettingsSchema>
