import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'
import { readLinkMbps } from '../membership/read-link-mbps.js'

/** Number of hosts that watch the store and relay its changes to the others. The second one covers the loss of the first. */
const RELAY_COUNT = 2

/**
 * Chooses the hosts that watch the store for all others. Every host with the same records chooses the same relays. Hosts with
 * the highest link bandwidth are preferred: a relay sends the configuration once to each host, and on a slow link the copies of
 * a large configuration for all hosts take longer than the time limit of a change.
 */
export function chooseRelays (hosts: readonly HostRecord[]): HostRecord[] {
  const byHost = new Map(hosts.map((host) => [host.host, host]))
  const order = computeRendezvousOrder('store relays', [...byHost.keys()]).map((host) => byHost.get(host) as HostRecord)
  return order.sort((left, right) => readLinkMbps(right) - readLinkMbps(left)).slice(0, RELAY_COUNT)
}
