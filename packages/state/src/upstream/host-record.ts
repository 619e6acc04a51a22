import { z } from 'zod'

/** Limits of what another writer may put into a record; far above the values that hosts write. */
const MAX_NAME_LENGTH = 256
const MAX_PORT = 65_535
const MAX_LINK_MBPS = 10_000_000

/** Record that a host of the fleet writes about itself when it starts. */
export const hostRecordSchema = z.object({
  host: z.string().min(1).max(MAX_NAME_LENGTH),
  incarnation: z.string().min(1).max(MAX_NAME_LENGTH),
  address: z.string().min(1).max(MAX_NAME_LENGTH),
  port: z.number().int().positive().max(MAX_PORT),
  dataCentre: z.string().max(MAX_NAME_LENGTH),
  region: z.string().max(MAX_NAME_LENGTH),
  /** Bandwidth of its network link in Mbit/s; absent in records of versions that did not write it. */
  linkMbps: z.number().positive().max(MAX_LINK_MBPS).optional(),
  /** The host drains: other hosts own its databases, but work that it has begun may still be in flight. */
  isLeaving: z.boolean().optional()
})

export type HostRecord = z.infer<typeof hostRecordSchema>
