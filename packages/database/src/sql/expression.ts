import type { ColumnType } from '../ledger/column-type.js'
import type { Value } from '../ledger/value.js'
import type { RunContext } from './run-context.js'

/** Compiled expression. */
export interface Expression {
  type: ColumnType
  evaluate: (row: readonly Value[], context: RunContext) => Value
}
