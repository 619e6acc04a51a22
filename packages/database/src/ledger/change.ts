import type { TableDefinition } from './table-definition.js'
import type { Value } from './value.js'

/** Change of the ledger as a log entry carries it. */
export type Change =
  | { type: 'put', table: string, key: string, values: Value[] }
  | { type: 'delete', table: string, key: string }
  | { type: 'create', definition: TableDefinition }
