import type { HostRecord } from '@tanagerusher/state/upstream/host-record'

/** Hosts of versions that do not write their bandwidth count as hosts on an ordinary data centre link. */
const DEFAULT_LINK_MBPS = 1000

/** Bandwidth of a host's network link in Mbit/s. */
export function readLinkMbps ({ linkMbps }: HostRecord): number {
  return linkMbps ?? DEFAULT_LINK_MBPS
}
