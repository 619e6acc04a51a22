import type { DatabaseSettings } from '../settings/database-settings.js'

interface Location {
  dataCentre: string
  region: string
}

/** Returns the one-way latency between two locations in milliseconds. */
export function computeLatency (left: Location, right: Location, network: DatabaseSettings['network']): number {
  if (left.region !== right.region) return network.betweenRegionsMs
  return left.dataCentre === right.dataCentre ? 0 : network.betweenDataCentresMs
}
