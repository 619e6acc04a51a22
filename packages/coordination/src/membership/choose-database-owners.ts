import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { Database } from '@tanagerusher/state/configuration/database'
import { computeRendezvousOrder } from './compute-rendezvous-order.js'

/**
 * Returns the candidate owners of a database in order of preference: the serving hosts of its data centre, or of its region if
 * there are none, or all serving hosts. The first one is the owner; the others replace it in this order.
 */
export function chooseDatabaseOwners (database: Database, members: readonly FleetMember[]): FleetMember[] {
  const serving = members.filter(({ state, addresses }) => state === 'serving' && addresses.pool !== undefined)
  const inDataCentre = serving.filter(({ dataCentre }) => dataCentre === database.dataCentre)
  const inRegion = serving.filter(({ region }) => region === database.region)
  const candidates = inDataCentre.length > 0 ? inDataCentre : inRegion.length > 0 ? inRegion : serving
  const byHost = new Map(candidates.map((member) => [member.host, member]))
  return computeRendezvousOrder(database.name, [...byHost.keys()]).map((host) => byHost.get(host) as FleetMember)
}
