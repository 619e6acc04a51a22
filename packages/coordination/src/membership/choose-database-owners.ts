import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { Database } from '@tanagerusher/state/configuration/database'
import { computeRendezvousOrder } from './compute-rendezvous-order.js'

/**
 * Hosts in the order in which they own a database: serving hosts of its data centre, else of its region, else all. The
 * first owns it; the others take over in turn.
 */
export function chooseDatabaseOwners (database: Database, members: readonly FleetMember[]): FleetMember[] {
  const serving = members.filter(({ state, addresses }) => state === 'serving' && addresses.pool !== undefined)
  const near = serving.filter(({ dataCentre }) => dataCentre === database.dataCentre)
  const inRegion = serving.filter(({ region }) => region === database.region)
  const candidates = near.length > 0 ? near : inRegion.length > 0 ? inRegion : serving
  const byHost = new Map(candidates.map((member) => [member.host, member]))
  return computeRendezvousOrder(database.name, [...byHost.keys()]).map((host) => byHost.get(host) as FleetMember)
}
