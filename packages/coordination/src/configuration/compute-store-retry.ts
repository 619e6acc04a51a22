interface Options {
  /** Calls in a row that failed, at least 1. */
  failures: number
  /** Whether the other hosts hear from this one. */
  isRelay: boolean
  /** Hosts of the fleet. */
  hosts: number
}

const SHORTEST_MS = 100
const LONGEST_MS = 800
/** Fleets up to this size may call at the relays' pace while the store is away. */
const SMALL_FLEET = 8
/** A host that the relays do not reach still finds the store well inside the time that a withdrawn key may work. */
const LARGEST_FACTOR = 4

/**
 * Time in ms before the store is called again after a failure. Answers the load of a store outage in a large fleet: all hosts
 * lose their proof at the same time, but only the relays' calls help the others, so the others call less often.
 */
export function computeStoreRetry ({ failures, isRelay, hosts }: Options): number {
  const factor = isRelay ? 1 : Math.min(LARGEST_FACTOR, Math.max(1, hosts / SMALL_FLEET))
  return factor * Math.min(LONGEST_MS, SHORTEST_MS * 2 ** Math.min(10, failures - 1))
}
