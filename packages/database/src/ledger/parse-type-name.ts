import type { ColumnType } from './column-type.js'
import { SqlError } from './sql-error.js'

const TYPE_NAMES: Record<string, ColumnType> = {
  text: 'text',
  varchar: 'text',
  'character varying': 'text',
  char: 'text',
  uuid: 'text',
  name: 'text',
  int: 'integer',
  int4: 'integer',
  int2: 'integer',
  smallint: 'integer',
  integer: 'integer',
  bigint: 'bigint',
  int8: 'bigint',
  numeric: 'numeric',
  decimal: 'numeric',
  float8: 'numeric',
  real: 'numeric',
  'double precision': 'numeric',
  bool: 'boolean',
  boolean: 'boolean',
  timestamptz: 'timestamptz',
  timestamp: 'timestamptz',
  'timestamp with time zone': 'timestamptz',
  jsonb: 'jsonb',
  json: 'jsonb',
  bytea: 'bytea'
}

/** Finds the column type of an SQL type name. @throws SqlError 42704 for an unsupported type. */
export function parseTypeName (name: string): ColumnType {
  const type = TYPE_NAMES[name.toLowerCase()]
  if (type === undefined) throw SqlError.create('42704', `type "${name}" does not exist`)
  return type
}
