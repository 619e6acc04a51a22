import { fleetMemberSchema } from '@tanagerusher/state/common/fleet-member'
import { z } from 'zod'
import { budgetDelegate } from './budget-delegate.js'

const contentSchema = z.looseObject({
  /** Absent when it is what the sender sent last over the same connection: it makes up most of a heartbeat. */
  member: fleetMemberSchema.optional(),
  /** Store version of the newest share table that the sender knows; 0 for none. */
  shareTableVersion: z.number().int().nonnegative(),
  /** Digest of the sender's configuration at the member's `configurationVersion`. */
  digest: z.string(),
  /** Time since the store was asked and had nothing newer than the sender's configuration; null when not known. */
  storeAgeMs: z.number().nullable()
})

/** Heartbeat between control processes. The answer confirms the caller's configuration and share. */
export const membershipHeartbeat = {
  method: 'membership.heartbeat',
  params: contentSchema.extend({
    /** Asks for the other hosts that the peer knows. */
    wantMembers: z.boolean().default(false),
    /** Renewal of delegations: one message for both saves a third of the messages between controls. */
    delegate: budgetDelegate.params.optional()
  }),
  result: contentSchema.extend({
    members: z.array(fleetMemberSchema).optional(),
    delegated: budgetDelegate.result.optional()
  })
} as const

/** What a heartbeat or its answer says, with the member filled in. */
export type HeartbeatContent = z.infer<typeof contentSchema> & { member: z.infer<typeof fleetMemberSchema> }
export type MembershipHeartbeatParams = z.infer<typeof membershipHeartbeat.params>
export type MembershipHeartbeatResult = z.infer<typeof membershipHeartbeat.result>
