import type { FleetMember } from '@tanagerusher/state/common/fleet-member'

/** Messages to other hosts' control processes. A message may be lost, late or doubled; answers come as events. */
export interface Peers {
  listMembers(): FleetMember[]
  /** Sends `message` to the host with this incarnation; no answer is awaited. */
  send(incarnation: string, message: { type: string }): void
}
