import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ConfigurationObject } from '@tanagerusher/state/configuration/configuration-object'

/**
 * Returns an object of the configuration.
 * @throws `object-unknown` when no object has that kind and name.
 */
export function requireObject<Kind extends ConfigurationObject['kind']> (replica: ConfigurationReplica, kind: Kind, name: string): Extract<ConfigurationObject, { kind: Kind }> {
  const object = replica.find(kind, name)
  if (object === undefined) throw TanagerusherError.create('object-unknown', { details: { object: `${kind}/${name}` } })
  return object as Extract<ConfigurationObject, { kind: Kind }>
}
