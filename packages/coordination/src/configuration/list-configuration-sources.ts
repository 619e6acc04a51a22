import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'

/**
 * Lists the hosts from which `self` fetches its configuration, the preferred one first. If `self` comes first, it is the relay
 * of its data centre and watches the store. Two relays at the same time cost additional store calls but do no harm, since
 * versions only increase.
 */
export function listConfigurationSources (self: FleetMember, members: readonly FleetMember[]): FleetMember[] {
  const byHost = new Map(members.filter(({ state }) => state !== 'leaving').map((member) => [member.host, member]))
  if (self.state !== 'leaving') byHost.set(self.host, self)
  const local = [...byHost.values()].filter(({ dataCentre }) => dataCentre === self.dataCentre)
  const remote = [...byHost.values()].filter(({ dataCentre }) => dataCentre !== self.dataCentre)
  const order = (candidates: FleetMember[]): FleetMember[] => {
    const hosts = computeRendezvousOrder(`relay ${self.dataCentre}`, candidates.map(({ host }) => host))
    return hosts.map((host) => byHost.get(host) as FleetMember)
  }
  return [...order(local), ...order(remote)]
}
