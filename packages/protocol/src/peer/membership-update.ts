import { fleetMemberSchema } from '@tanagerusher/state/common/fleet-member'
import { z } from 'zod'

/** Notification from control to entry and pool: the hosts that serve, sent on change and every second. */
export const membershipUpdate = {
  method: 'membership.update',
  params: z.looseObject({
    members: z.array(fleetMemberSchema),
    /** Time since the configuration was last confirmed, in ms. Above the limit the entry stops serving. */
    confirmedAgeMs: z.number(),
    /** A drain of the host was requested: entry and pool drain. */
    leaving: z.boolean()
  })
} as const

export type MembershipUpdateParams = z.infer<typeof membershipUpdate.params>
