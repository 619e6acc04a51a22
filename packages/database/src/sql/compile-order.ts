import type { OrderByStatement } from 'pgsql-ast-parser'
import type { Value } from '../ledger/value.js'
import { SqlError } from '../ledger/sql-error.js'
import { compareValues } from './compare-values.js'
import { compileExpression } from './compile-expression.js'
import type { RunContext } from './run-context.js'
import type { Scope } from './scope.js'
import type { ScopeColumn } from './scope-column.js'

/** A source row and the output row made from it. */
type RowPair = [source: readonly Value[], output: readonly Value[]]
type SortKeyReader = (pair: RowPair, context: RunContext) => Value

/**
 * Compiles ORDER BY. A name is an output column, or else a source column; a number is the position of an output column.
 * Returns undefined when there is no ORDER BY.
 */
export function compileOrder (orders: readonly OrderByStatement[], outputs: readonly ScopeColumn[], scope: Scope): ((pairs: Iterable<RowPair>, context: RunContext) => RowPair[]) | undefined {
  if (orders.length === 0) return undefined
  const keys = orders.map((order) => ({ read: compileSortKey(order, outputs, scope), sign: order.order === 'DESC' ? -1 : 1 }))
  return (pairs, context) => {
    const keyed = [...pairs].map((pair) => ({ pair, values: keys.map(({ read }) => read(pair, context)) }))
    keyed.sort((left, right) => compareKeys(left.values, right.values, keys))
    return keyed.map(({ pair }) => pair)
  }
}

function compileSortKey ({ by }: OrderByStatement, outputs: readonly ScopeColumn[], scope: Scope): SortKeyReader {
  const position = findPosition(by, outputs)
  if (position !== undefined) return ([, output]) => output[position] as Value
  const { evaluate } = compileExpression(by, scope)
  return ([source], context) => evaluate(source, context)
}

function findPosition (by: OrderByStatement['by'], outputs: readonly ScopeColumn[]): number | undefined {
  if (by.type === 'integer') {
    if (by.value < 1 || by.value > outputs.length) throw SqlError.create('42P10', `ORDER BY position ${by.value} is not in select list`)
    return by.value - 1
  }
  if (by.type !== 'ref' || by.table !== undefined) return undefined
  const index = outputs.findIndex(({ name }) => name === by.name)
  return index < 0 ? undefined : index
}

function compareKeys (left: Value[], right: Value[], keys: Array<{ sign: number }>): number {
  for (const [index, { sign }] of keys.entries()) {
    const order = compareValues(left[index] as Value, right[index] as Value)
    if (order !== 0) return order * sign
  }
  return 0
}
