import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'
import { readLinkMbps } from '../membership/read-link-mbps.js'

/** Hosts that watch the store; the others hear from them. The second covers the loss of the first. */
const RELAYS = 2

/**
 * Hosts that watch the store for all others, alike at every host that knows the same records. Answers the load of a large
 * configuration, which a relay sends once to each host: the hosts with the widest links go first, since on a narrow one the
 * copies for all hosts take longer than a change may.
 */
export function chooseRelays (hosts: readonly HostRecord[]): HostRecord[] {
  const byHost = new Map(hosts.map((host) => [host.host, host]))
  const order = computeRendezvousOrder('store relays', [...byHost.keys()]).map((host) => byHost.get(host) as HostRecord)
  return order.sort((left, right) => readLinkMbps(right) - readLinkMbps(left)).slice(0, RELAYS)
}
