import type { TableDefinition } from '../ledger/table-definition.js'
import type { Value } from '../ledger/value.js'

type EncodedChange =
  | [table: string, key: string, values: Value[] | null]
  | [definition: TableDefinition]

/** Log entry on a replication link and in a journal: arrays, because the names of fields would be most of the bytes. */
export type EncodedEntry = [term: number, ...changes: EncodedChange[]]
