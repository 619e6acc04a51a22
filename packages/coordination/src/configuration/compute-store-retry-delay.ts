interface Options {
  /** Number of consecutive failed calls, at least 1. */
  failures: number
  /** Whether this host relays the store's changes to the other hosts. */
  isRelay: boolean
  /** Number of hosts in the fleet. */
  hosts: number
}

const MINIMUM_DELAY_MS = 100
const MAXIMUM_DELAY_MS = 800
/** In fleets up to this size every host may retry as often as a relay while the store is unreachable. */
const SMALL_FLEET_HOSTS = 8
/** With this limit a host that no relay reaches still reconnects to the store well before a withdrawn key must stop working. */
const MAXIMUM_DELAY_FACTOR = 4

/**
 * Computes the time in ms before the store is called again after a failure. Limits the load of a store outage in a large fleet:
 * the confirmations of all hosts expire at the same time, but only a successful call of a relay helps the other hosts, so hosts
 * that are not relays call less often.
 */
export function computeStoreRetryDelay ({ failures, isRelay, hosts }: Options): number {
  const factor = isRelay ? 1 : Math.min(MAXIMUM_DELAY_FACTOR, Math.max(1, hosts / SMALL_FLEET_HOSTS))
  return factor * Math.min(MAXIMUM_DELAY_MS, MINIMUM_DELAY_MS * 2 ** Math.min(10, failures - 1))
}
