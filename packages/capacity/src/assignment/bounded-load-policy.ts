import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { AssignmentPolicy } from './assignment-policy.js'

const LOAD_BOUND_RATIO = 1.25

/** Chooses the first host in rendezvous order whose load is below a bound. */
export class BoundedLoadPolicy implements AssignmentPolicy {
  readonly name = 'bounded load'

  static create (): BoundedLoadPolicy {
    return new BoundedLoadPolicy()
  }

  choose (items: readonly string[], hosts: readonly string[]): string[] {
    const bound = Math.ceil(items.length / hosts.length * LOAD_BOUND_RATIO)
    const loads = new Map(hosts.map((host) => [host, 0]))
    return items.map((item) => {
      const order = computeRendezvousOrder(item, hosts)
      const chosen = order.find((host) => (loads.get(host) ?? 0) < bound) as string
      loads.set(chosen, (loads.get(chosen) ?? 0) + 1)
      return chosen
    })
  }
}
