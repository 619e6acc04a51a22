import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { readLinkMbps } from './read-link-mbps.js'
import { computeRendezvousOrder } from './compute-rendezvous-order.js'

interface Place { id: string, dataCentre: string }

/**
 * Hosts in the order in which they own a database's connections: those of its data centre, of its region, then all others.
 * The first that answers owns it, so that few hosts share its connections and all requests of an organisation reuse them.
 * All answers of a database pass its owner's link, so a host owns databases in proportion to the bandwidth of its link.
 */
export function listOwnerCandidates (database: Place, hosts: readonly HostRecord[], regions: ReadonlyMap<string, string>): HostRecord[] {
  const byHost = new Map(hosts.map((host) => [host.host, host]))
  const region = regions.get(database.dataCentre)
  const findWeight = (host: string): number => readLinkMbps(byHost.get(host) as HostRecord)
  const order = computeRendezvousOrder(database.id, [...byHost.keys()], findWeight).map((host) => byHost.get(host) as HostRecord)
  const rank = (host: HostRecord): number => host.dataCentre === database.dataCentre ? 0 : host.region === region ? 1 : 2
  return [0, 1, 2].flatMap((wanted) => order.filter((host) => rank(host) === wanted))
}
