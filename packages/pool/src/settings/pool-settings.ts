import { hostSettingsSchema } from '@tanagerusher/runtime/settings/host-settings'
import { z } from 'zod'

const addressSchema = z.object({ host: z.ipv4(), port: z.number().int().min(1).max(65535) })

/** Settings of `tanagerusher-pool`. */
export const poolSettingsSchema = hostSettingsSchema.extend({
  port: z.number().int().min(0).max(65535).default(7201).describe('Port for peers; 0 lets the system choose'),
  control: z.array(addressSchema).min(1).describe("Control processes: the own host's first, then others"),
  metricsPort: z.number().int().min(0).max(65535).optional().describe('Port of GET /metrics; absent means none'),
  catchUpWaitMs: z.number().nonnegative().default(150).describe('How long a read waits for its replica to reach the floor'),
  suspectAfterMs: z.number().positive().default(600).describe('Silence after which a primary may be suspected'),
  promotionDelayMs: z.number().nonnegative().default(250).describe('Head start of each candidate over the next'),
  staleConfigurationMs: z.number().positive().default(10_000).describe('Age of the last contact with control at which work is refused'),
  shutdownTimeoutMs: z.number().positive().default(30_000).describe('Longest wait for open transactions in a shutdown')
})

export type PoolSettings = z.infer<typeof poolSettingsSchema>
