import type { Value } from '../ledger/value.js'
import type { Expression } from './expression.js'

/** Aggregate function of a select list: its argument and how values are combined. */
export interface Aggregate {
  start: () => Value
  add: (state: Value, value: Value) => Value
  argument: Expression | null
}
