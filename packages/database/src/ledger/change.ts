import type { TableDefinition } from './table-definition.js'
import type { Value } from './value.js'

/** One change of the committed state, as stored in a log entry. */
export type Change =
  | { type: 'put', table: string, key: string, values: Value[] }
  | { type: 'delete', table: string, key: string }
  | { type: 'create', definition: TableDefinition }
