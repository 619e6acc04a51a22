import type { DatabaseSettings } from '../settings/database-settings.js'

interface Place {
  dataCentre: string
  region: string
}

/** One-way latency between two places in milliseconds. */
export function computeLatency (left: Place, right: Place, network: DatabaseSettings['network']): number {
  if (left.region !== right.region) return network.betweenRegionsMs
  return left.dataCentre === right.dataCentre ? 0 : network.betweenDataCentresMs
}
