import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { AdministrationContext } from '../administration/administration-context.js'
import type { HostStatus } from './host-status.js'
import { statusFetch } from './status-fetch.js'

const STATUS_TIMEOUT_MS = 1500

/** Returns the status of every host of the fleet. A host that does not respond is listed as unreachable, with data from its heartbeats. */
export async function collectStatus ({ view, clock, links, describeStatus }: Pick<AdministrationContext, 'view' | 'clock' | 'links' | 'describeStatus'>): Promise<HostStatus[]> {
  const others = view.listMembers(clock.readTime()).slice(1)
  const statuses = await Promise.all(others.map(async (member) => {
    try {
      return await (await links.connect(member.addresses.control)).request(statusFetch, {}, STATUS_TIMEOUT_MS)
    } catch {
      return describeUnreachable(member)
    }
  }))
  return [describeStatus(), ...statuses].sort((left, right) => left.host < right.host ? -1 : 1)
}

function describeUnreachable ({ host, incarnation, dataCentre, region, configurationVersion }: FleetMember): HostStatus {
  return { host, incarnation, dataCentre, region, state: 'unreachable', configurationVersion, confirmedAgeMs: null, storeAgeMs: null, shareFraction: 0, partitions: 0, processes: [] }
}
