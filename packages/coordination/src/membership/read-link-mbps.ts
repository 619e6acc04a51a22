import type { HostRecord } from '@tanagerusher/state/upstream/host-record'

/** Assumed for hosts of versions that do not record their bandwidth: an ordinary data centre link. */
const DEFAULT_LINK_MBPS = 1000

/** Returns the bandwidth of a host's network link in Mbit/s. */
export function readLinkMbps ({ linkMbps }: HostRecord): number {
  return linkMbps ?? DEFAULT_LINK_MBPS
}
