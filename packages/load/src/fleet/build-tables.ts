import type { Workload } from '../workload/workload.js'

interface Table {
  name: string
  columns: Array<{ name: string, type: 'text' | 'bigint' | 'timestamptz', notNull?: boolean }>
  primaryKey?: string[]
  indexes?: string[]
}

/**
 * Builds the tables of a workload's databases. Identifiers have no unique constraint: work that runs twice must leave two rows,
 * which the check for doubled writes detects, instead of failing with an error.
 */
export function buildTables ({ classes }: Workload): Table[] {
  const columns = new Map(classes.map(({ table, valueColumn: column }) => [table, column]))
  const tables: Table[] = [...columns].map(([name, column]) => ({
    name,
    columns: [{ name: 'id', type: 'text', notNull: true }, { name: 'session', type: 'text' }, { name: column, type: 'bigint' }],
    indexes: ['session']
  }))
  const requests: Table = {
    name: 'tanagerusher_request',
    columns: [
      { name: 'idempotency_key', type: 'text', notNull: true },
      { name: 'digest', type: 'text' },
      { name: 'response', type: 'text' },
      { name: 'created_at', type: 'timestamptz' }
    ],
    primaryKey: ['idempotency_key']
  }
  return [...tables, requests]
}
