import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import type { ConfigurationObject } from '@tanagerusher/state/configuration/configuration-object'

const MEMBERS = ['a', 'b', 'c']

/** Builds a change of a group of three databases, which is the largest kind of configuration object. */
export function buildChange (index: number, version: number): ConfigurationChange {
  const databases = MEMBERS.map((name) => ({ name: `g${index}-${name}`, host: '127.0.0.1', port: 5432, dataCentre: 'd1', region: 'r1', slots: 3, connections: 20, leaving: false }))
  const object: ConfigurationObject = { kind: 'group', name: `g${index}`, version, value: { databases, databaseName: 'ledger', user: 'proxy', password: 'proxy' } }
  return { type: 'put', object }
}
