import type { Change } from '../ledger/change.js'
import { parseValue } from '../ledger/parse-value.js'
import { Table } from '../ledger/table.js'
import type { TableDefinition } from '../ledger/table-definition.js'

/** Returns the changes of the first log entry: the tables of the settings and their rows. Equal settings yield equal changes. */
export function buildInitialChanges (definitions: readonly TableDefinition[]): Change[] {
  return definitions.flatMap((definition): Change[] => {
    const table = Table.create({ ...definition, rows: [] })
    const rows = definition.rows.map((row, index): Change => {
      const values = definition.columns.map(({ type }, column) => parseValue(type, row[column] ?? null))
      const key = table.keyColumns.length === 0 ? `#initial-${index}` : table.computeKey(values)
      return { type: 'put', table: definition.name, key, values }
    })
    return [{ type: 'create', definition: table.definition }, ...rows]
  })
}
