import { SqlError } from '../ledger/sql-error.js'
import type { Table } from '../ledger/table.js'
import type { Value } from '../ledger/value.js'

/** @throws SqlError 23502 when a NOT NULL column is null. */
export function checkNotNull (table: Table, values: readonly Value[]): void {
  for (const [index, { name, notNull }] of table.definition.columns.entries()) {
    if (notNull && values[index] === null) {
      throw SqlError.create('23502', `null value in column "${name}" of relation "${table.definition.name}" violates not-null constraint`)
    }
  }
}
