import type { HostRecord } from '@tanagerusher/state/upstream/host-record'

/**
 * Restricts the candidate owners of a database's connections to hosts that may receive the body of an operation: those in a
 * permitted region, and the host `self` on which the caller connected, which has received it already. The order is kept.
 */
export function filterPermittedHosts (candidates: readonly HostRecord[], self: string, permittedRegions: ReadonlySet<string> | undefined): readonly HostRecord[] {
  return permittedRegions === undefined ? candidates : candidates.filter(({ host, region }) => host === self || permittedRegions.has(region))
}
