import type { ShareRow } from '@tanagerusher/coordination/budget/share-table-schema'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'

/** Creates the row of a host in the share table. */
export function createShareRow ({ host, incarnation, addresses }: FleetMember): ShareRow {
  return { host, incarnation, address: `${addresses.control.host}:${addresses.control.port}` }
}
