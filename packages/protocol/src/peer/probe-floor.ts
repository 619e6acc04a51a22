import { positionSchema } from '@tanagerusher/state/position/position'
import { z } from 'zod'

/** Linearizable read of the primary's position, confirmed by a majority of the group after the request arrived. */
export const probeFloor = {
  method: 'probe-floor',
  params: z.looseObject({ group: z.string(), deadlineMs: z.number() }),
  result: z.looseObject({ position: positionSchema })
} as const

export type ProbeFloorParams = z.infer<typeof probeFloor.params>
