import type { FleetMember } from '@tanagerusher/state/common/fleet-member'

/** Sends messages to the control processes of other hosts. A message may be lost, delayed or duplicated; responses arrive as events. */
export interface Peers {
  listMembers(): FleetMember[]
  /** Sends `message` to the host with this incarnation without waiting for a response. */
  send(incarnation: string, message: { type: string }): void
}
