import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import type { AdministrationContext } from '../administration-context.js'
import { controlSnapshotSchema, type ControlSnapshot } from '../../configuration/control-snapshot-schema.js'
import type { Route } from '../route.js'
import type { RouteRequest } from '../route-request.js'

/** Creates the routes that export the control state and compare it with an earlier export. */
export function createSnapshotRoutes ({ replica }: AdministrationContext): Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/snapshot',
      summary: 'Export the control state: every object of the configuration, with verifiers and upstream credentials',
      access: 'administrator',
      answer: controlSnapshotSchema,
      handle: async () => ({
        version: replica.version,
        body: { format: 'tanagerusher-control-snapshot', formatVersion: 1, configuration: replica.createSnapshot() } satisfies ControlSnapshot
      })
    },
    {
      method: 'POST',
      path: '/v1/snapshot/diff',
      summary: 'Objects that differ between a snapshot and the configuration in force',
      access: 'administrator',
      body: controlSnapshotSchema,
      handle: async (request) => ({ body: { differences: listDifferences((request as RouteRequest<ControlSnapshot>).body.configuration.changes, replica.createSnapshot().changes) } })
    }
  ]
}

interface Difference { object: string, change: 'added' | 'removed' | 'changed', from: number, to: number }

function listDifferences (before: ConfigurationChange[], after: ConfigurationChange[]): Difference[] {
  const left = indexVersions(before)
  const right = indexVersions(after)
  return [...new Set([...left.keys(), ...right.keys()])].sort().flatMap((object): Difference[] => {
    const from = left.get(object) ?? 0
    const to = right.get(object) ?? 0
    return from === to ? [] : [{ object, change: from === 0 ? 'added' : to === 0 ? 'removed' : 'changed', from, to }]
  })
}

function indexVersions (changes: ConfigurationChange[]): Map<string, number> {
  return new Map(changes.flatMap((change) => change.type === 'put' ? [[`${change.object.kind}/${change.object.name}`, change.object.version] as const] : []))
}
