import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { computeRendezvousOrder } from './compute-rendezvous-order.js'

interface Place { id: string, dataCentre: string }

/**
 * Hosts in the order in which they own a database's connections: those of its data centre, of its region, then all others.
 * The first that answers owns it, so that few hosts share its connections and all requests of an organisation reuse them.
 */
export function listOwnerCandidates (database: Place, hosts: readonly HostRecord[], regions: ReadonlyMap<string, string>): HostRecord[] {
  const byHost = new Map(hosts.map((host) => [host.host, host]))
  const region = regions.get(database.dataCentre)
  const order = computeRendezvousOrder(database.id, [...byHost.keys()]).map((host) => byHost.get(host) as HostRecord)
  const rank = (host: HostRecord): number => host.dataCentre === database.dataCentre ? 0 : host.region === region ? 1 : 2
  return [0, 1, 2].flatMap((wanted) => order.filter((host) => rank(host) === wanted))
}
