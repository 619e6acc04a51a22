import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { AssignmentPolicy } from './assignment-policy.js'

interface CreateOptions {
  name: string
  /** Number of hosts, counted from the first in rendezvous order, among which the least loaded is chosen. */
  choices: number
}

/** Chooses the least loaded of the first hosts in rendezvous order: "better of two" with two choices, "least loaded" with all hosts. */
export class LeastLoadedPolicy implements AssignmentPolicy {
  readonly name: string
  readonly #choices: number

  private constructor ({ name, choices }: CreateOptions) {
    this.name = name
    this.#choices = choices
  }

  static create (options: CreateOptions): LeastLoadedPolicy {
    return new LeastLoadedPolicy(options)
  }

  choose (items: readonly string[], hosts: readonly string[]): string[] {
    const loads = new Map(hosts.map((host) => [host, 0]))
    return items.map((item) => {
      const candidates = computeRendezvousOrder(item, hosts).slice(0, this.#choices)
      const chosen = candidates.reduce((best, host) => (loads.get(host) ?? 0) < (loads.get(best) ?? 0) ? host : best)
      loads.set(chosen, (loads.get(chosen) ?? 0) + 1)
      return chosen
    })
  }
}
