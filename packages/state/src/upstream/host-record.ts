import { z } from 'zod'

/** Record that a host of the fleet writes about itself when it starts. */
export const hostRecordSchema = z.object({
  host: z.string().min(1),
  incarnation: z.string().min(1),
  address: z.string().min(1),
  port: z.number().int().positive(),
  dataCentre: z.string(),
  region: z.string(),
  /** Bandwidth of its network link in Mbit/s; absent in records of versions that did not write it. */
  linkMbps: z.number().positive().optional(),
  /** The host drains: other hosts own its databases, but work that it has begun may still be in flight. */
  isLeaving: z.boolean().optional()
})

export type HostRecord = z.infer<typeof hostRecordSchema>
