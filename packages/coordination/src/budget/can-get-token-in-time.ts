import { MAX_SMALL_FLEET_HOSTS } from './max-small-fleet-hosts.js'

interface Options {
  ratePerSecond: number
  burst: number
  overdraft: number
  /** Number of requests of the organisation that wait for a token at this host, the new one included. */
  waiting: number
  waitMs: number
}

/**
 * Returns false when a new request cannot get a token in its time even if the whole fleet gives all that it holds and accrues to
 * this host: the home and the hosts hold at most a burst each. Such a request is refused at once and takes no place in the queue.
 */
export function canGetTokenInTime ({ ratePerSecond, burst, overdraft, waiting, waitMs }: Options): boolean {
  return waiting <= 2 * Math.max(1, burst) + MAX_SMALL_FLEET_HOSTS + overdraft + ratePerSecond * (waitMs / 1000)
}
