import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { AssignmentPolicy } from './assignment-policy.js'

/** Chooses the first host in rendezvous order. This is the random policy of SPLAD, and the policy that the product uses. */
export class FirstInOrderPolicy implements AssignmentPolicy {
  readonly name = 'random (rendezvous)'

  static create (): FirstInOrderPolicy {
    return new FirstInOrderPolicy()
  }

  choose (items: readonly string[], hosts: readonly string[]): string[] {
    return items.map((item) => computeRendezvousOrder(item, hosts)[0] as string)
  }
}
