import { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { buildChange } from './build-change.js'

/** Builds a configuration replica with `size` groups. */
export function buildReplica (size: number): ConfigurationReplica {
  const replica = ConfigurationReplica.create()
  replica.applyStoreChanges(Array.from({ length: size }, (_, index) => buildChange(index, index + 1)))
  return replica
}
