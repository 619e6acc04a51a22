import type { TableDefinition } from '../ledger/table-definition.js'
import type { Value } from '../ledger/value.js'

type EncodedChange =
  | [table: string, key: string, values: Value[] | null]
  | [definition: TableDefinition]

/** Log entry as it is sent over a replication link and stored in a journal. It uses arrays because field names would take most of the bytes. */
export type EncodedEntry = [term: number, ...changes: EncodedChange[]]
