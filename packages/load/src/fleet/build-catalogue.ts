import { createHash } from 'node:crypto'
import { createKeyVerifier } from '@tanagerusher/protocol/postgres/create-key-verifier'
import type { ConfigurationObject } from '@tanagerusher/state/configuration/configuration-object'
import type { Group } from '@tanagerusher/state/configuration/group'
import type { FleetOptions } from './fleet-options.js'

const DEFERRED_QUEUE_MAXIMUM = 200

interface Catalogue {
  /** Initial objects of the store. */
  objects: Array<Pick<ConfigurationObject, 'kind' | 'name'> & { value: unknown }>
  /** First key of each organisation, by the name of the organisation. */
  passwords: Record<string, string>
}

interface BuildCatalogueOptions {
  options: FleetOptions
  groups: Record<string, Pick<Group, 'databases'>>
}

/**
 * Builds the organisations, keys, entries and groups. Each organisation has one entry per caller class, and all its entries
 * belong to the same group.
 */
export function buildCatalogue ({ options, groups }: BuildCatalogueOptions): Catalogue {
  const { workload, seed, rateFactor = 1, readsOnReplicas = true } = options
  const names = Object.keys(groups)
  const objects: Catalogue['objects'] = Object.entries(groups).map(([name, value]) => ({ kind: 'group', name, value }))
  const passwords: Catalogue['passwords'] = {}
  for (const [index, { name, rate, burst, weight }] of workload.organisations.entries()) {
    const password = createHash('sha256').update(`${seed}/${name}`).digest('hex').slice(0, 32)
    const salt = createHash('sha256').update(name).digest().subarray(0, 16).toString('base64')
    passwords[name] = password
    objects.push({ kind: 'organisation', name, value: { rate: rate * rateFactor, burst: burst * rateFactor, weight } })
    objects.push({ kind: 'key', name: `${name}-1`, value: { organisation: name, generation: 1, withdrawn: false, ...createKeyVerifier({ key: password, salt }) } })
    for (const callerClass of workload.classes) {
      const { entryClass, maximumAgeMs } = callerClass
      const value = {
        owner: name,
        group: names[index % names.length],
        class: entryClass,
        readsOnReplicas,
        maximumQueued: entryClass === 'deferred' ? DEFERRED_QUEUE_MAXIMUM : undefined,
        maximumAgeMs
      }
      objects.push({ kind: 'entry', name: `${name}-${callerClass.name}`, value })
    }
  }
  objects.push({ kind: 'entry', name: 'open', value: { owner: null, group: names[0] } })
  return { objects, passwords }
}
