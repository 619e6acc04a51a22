import type { Expr } from 'pgsql-ast-parser'
import type { ColumnType } from '../ledger/column-type.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'
import { compareValues } from './compare-values.js'
import type { Expression } from './expression.js'
import { Scope } from './scope.js'
import type { Aggregate } from './aggregate.js'

type Compile = (node: Expr, scope: Scope, expected?: ColumnType) => Expression

const AGGREGATE_NAMES = new Set(['count', 'sum', 'max', 'min'])

/** Compiles a call of an aggregate function; returns undefined when `name` is not an aggregate function. */
export function compileAggregate (name: string, nodes: Expr[], distinct: boolean, scope: Scope, compile: Compile): Expression | undefined {
  if (!AGGREGATE_NAMES.has(name)) return undefined
  const { aggregates } = scope
  if (aggregates === undefined) throw SqlError.create('42803', `aggregate function ${name} is not allowed here`)
  if (distinct) throw SqlError.create('0A000', `${name}(DISTINCT) is not supported`)
  const node = nodes[0]
  const isStar = node === undefined || (node.type === 'ref' && node.name === '*')
  // Aggregates must not nest, so none is allowed while the argument is compiled.
  scope.aggregates = undefined
  const argument = isStar ? null : compile(node, scope)
  scope.aggregates = aggregates
  const index = scope.columns.length + aggregates.length
  aggregates.push(buildAggregate(name, argument))
  return { type: chooseType(name, argument), evaluate: (row) => row[index] as Value }
}

function buildAggregate (name: string, argument: Expression | null): Aggregate {
  if (name === 'count') return { start: () => 0, add: (state, value) => value === null ? state : Number(state) + 1, argument }
  if (name === 'sum') return { start: () => null, add: (state, value) => value === null ? state : Number(state ?? 0) + Number(value), argument }
  const sign = name === 'max' ? 1 : -1
  const add = (state: Value, value: Value): Value =>
    value !== null && (state === null || compareValues(value, state) * sign > 0) ? value : state
  return { start: () => null, add, argument }
}

function chooseType (name: string, argument: Expression | null): ColumnType {
  if (name === 'count') return 'bigint'
  if (name === 'sum') return argument?.type === 'integer' ? 'bigint' : 'numeric'
  return argument?.type ?? 'text'
}
