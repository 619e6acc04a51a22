import type { ColumnType } from '../ledger/column-type.js'

const TYPES = new Map<number, ColumnType>([
  [16, 'boolean'], [17, 'bytea'], [20, 'bigint'], [21, 'integer'], [23, 'integer'], [25, 'text'], [114, 'jsonb'], [700, 'numeric'],
  [701, 'numeric'], [1043, 'text'], [1114, 'timestamptz'], [1184, 'timestamptz'], [1700, 'numeric'], [3802, 'jsonb']
])

/** Returns the column type of a type identifier in a Parse message; undefined when the type is to be inferred from the statement. */
export function findTypeByIdentifier (identifier: number): ColumnType | undefined {
  return TYPES.get(identifier)
}
