import { z } from 'zod'

const addressSchema = z.object({ host: z.string(), port: z.number().int() })

/** Host of the fleet. `incarnation` changes at each start of the host's control process. */
export const fleetMemberSchema = z.looseObject({
  host: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  state: z.enum(['starting', 'serving', 'leaving']),
  configurationVersion: z.number().int(),
  addresses: z.looseObject({
    control: addressSchema,
    pool: addressSchema.optional(),
    entry: addressSchema.optional(),
    administration: addressSchema.optional()
  })
})

export type FleetMember = z.infer<typeof fleetMemberSchema>
