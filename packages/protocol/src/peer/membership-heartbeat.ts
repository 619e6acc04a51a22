import { fleetMemberSchema } from '@tanagerusher/state/common/fleet-member'
import { z } from 'zod'
import { budgetDelegate } from './budget-delegate.js'

const contentSchema = z.looseObject({
  /** Absent when unchanged since the sender last sent it over the same connection, because it makes up most of a heartbeat. */
  member: fleetMemberSchema.optional(),
  /** Store version of the newest share table that the sender has; 0 for none. */
  shareTableVersion: z.number().int().nonnegative(),
  /** Digest of the sender's configuration at the member's `configurationVersion`. */
  digest: z.string(),
  /** Time since a request to the store showed nothing newer than the sender's configuration; null when unknown. */
  storeAgeMs: z.number().nullable()
})

/** Heartbeat between control processes. The response confirms the sender's configuration and share. */
export const membershipHeartbeat = {
  method: 'membership.heartbeat',
  params: contentSchema.extend({
    /** Requests the other hosts that are known to the peer. */
    wantMembers: z.boolean().default(false),
    /** Renewal of delegations. Sending it with the heartbeat saves a third of the messages between control processes. */
    delegate: budgetDelegate.params.optional()
  }),
  result: contentSchema.extend({
    members: z.array(fleetMemberSchema).optional(),
    delegated: budgetDelegate.result.optional()
  })
} as const

/** Content of a heartbeat or of its response, with the member filled in. */
export type HeartbeatContent = z.infer<typeof contentSchema> & { member: z.infer<typeof fleetMemberSchema> }
export type MembershipHeartbeatParams = z.infer<typeof membershipHeartbeat.params>
export type MembershipHeartbeatResult = z.infer<typeof membershipHeartbeat.result>
