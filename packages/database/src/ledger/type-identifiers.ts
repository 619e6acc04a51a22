import type { ColumnType } from './column-type.js'

/** Object identifiers (OIDs) of PostgreSQL's types, as sent in RowDescription. */
export const typeIdentifiers: Record<ColumnType, number> = {
  text: 25,
  integer: 23,
  bigint: 20,
  numeric: 1700,
  boolean: 16,
  timestamptz: 1184,
  jsonb: 3802,
  bytea: 17
}
