import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { AssignmentPolicy } from './assignment-policy.js'

/** The first host in rendezvous order: SPLAD's random policy, and the one that the product uses. */
export class FirstInOrderPolicy implements AssignmentPolicy {
  readonly name = 'random (rendezvous)'

  static create (): FirstInOrderPolicy {
    return new FirstInOrderPolicy()
  }

  choose (items: readonly string[], hosts: readonly string[]): string[] {
    return items.map((item) => computeRendezvousOrder(item, hosts)[0] as string)
  }
}
