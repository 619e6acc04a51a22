import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import { computeRendezvousOrder } from '../membership/compute-rendezvous-order.js'

/**
 * Hosts from which `self` takes its configuration, best first. `self` itself in first place means that it is the relay of
 * its data centre and watches the store. Two relays at a time are harmless, since versions only rise; they cost calls.
 */
export function listConfigurationSources (self: FleetMember, members: readonly FleetMember[]): FleetMember[] {
  const byHost = new Map(members.filter(({ state }) => state !== 'leaving').map((member) => [member.host, member]))
  if (self.state !== 'leaving') byHost.set(self.host, self)
  const near = [...byHost.values()].filter(({ dataCentre }) => dataCentre === self.dataCentre)
  const far = [...byHost.values()].filter(({ dataCentre }) => dataCentre !== self.dataCentre)
  const order = (candidates: FleetMember[]): FleetMember[] => {
    const hosts = computeRendezvousOrder(`relay ${self.dataCentre}`, candidates.map(({ host }) => host))
    return hosts.map((host) => byHost.get(host) as FleetMember)
  }
  return [...order(near), ...order(far)]
}
