import type { Value } from '../ledger/value.js'
import type { Expression } from './expression.js'

/** Call of an aggregate function in a statement. */
export interface Aggregate {
  /** Returns the result for a group without rows, to which `add` then adds the value of each row. */
  start: () => Value
  add: (state: Value, value: Value) => Value
  /** Null for `count(*)`. */
  argument: Expression | null
}
