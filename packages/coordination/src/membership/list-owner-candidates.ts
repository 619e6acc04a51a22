import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { readLinkMbps } from './read-link-mbps.js'
import { computeRendezvousOrder } from './compute-rendezvous-order.js'

interface DatabaseLocation { id: string, dataCentre: string }

/**
 * Lists the candidate owners of a database's connections in order of preference: hosts of its data centre, of its region, then
 * all others. The first reachable one is the owner, so that few hosts share the connections of a database and all requests of an
 * organisation reuse them. All responses of a database pass over its owner's link, so the number of databases that a host owns
 * is proportional to the bandwidth of its link.
 */
export function listOwnerCandidates (database: DatabaseLocation, hosts: readonly HostRecord[], regions: ReadonlyMap<string, string>): HostRecord[] {
  const byHost = new Map(hosts.map((host) => [host.host, host]))
  const region = regions.get(database.dataCentre)
  const findWeight = (host: string): number => readLinkMbps(byHost.get(host) as HostRecord)
  const order = computeRendezvousOrder(database.id, [...byHost.keys()], findWeight).map((host) => byHost.get(host) as HostRecord)
  const computeRank = (host: HostRecord): number => host.dataCentre === database.dataCentre ? 0 : host.region === region ? 1 : 2
  return [0, 1, 2].flatMap((rank) => order.filter((host) => computeRank(host) === rank))
}
