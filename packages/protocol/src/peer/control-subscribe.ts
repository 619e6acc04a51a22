import { configurationUpdateSchema } from '@tanagerusher/state/configuration/configuration-update'
import { fleetMemberSchema } from '@tanagerusher/state/common/fleet-member'
import { z } from 'zod'

/** An entry or a pool of the host registers with the control process; updates follow as notifications on the same connection. */
export const controlSubscribe = {
  method: 'control.subscribe',
  params: z.looseObject({
    role: z.enum(['entry', 'pool']),
    incarnation: z.string(),
    address: z.object({ host: z.string(), port: z.number().int() }),
    configurationVersion: z.number().int()
  }),
  result: z.looseObject({
    configuration: configurationUpdateSchema.nullable(),
    members: z.array(fleetMemberSchema),
    /** Time since the configuration was last confirmed by the store or by a majority of hosts, in ms. */
    confirmedAgeMs: z.number()
  })
} as const

export type ControlSubscribeResult = z.infer<typeof controlSubscribe.result>
