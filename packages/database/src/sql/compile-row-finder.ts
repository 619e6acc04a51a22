import type { Expr } from 'pgsql-ast-parser'
import { parseValue } from '../ledger/parse-value.js'
import type { Table } from '../ledger/table.js'
import type { Value } from '../ledger/value.js'
import { compileExpression } from './compile-expression.js'
import type { Expression } from './expression.js'
import type { RunContext } from './run-context.js'
import type { Scope } from './scope.js'

type RowFinder = (context: RunContext, visit: (values: readonly Value[], key: string) => void) => void

/**
 * Compiles a WHERE clause into a search. It reads one row when the conditions fix the whole primary key, else the rows of an
 * index when one applies, else the whole table.
 */
export function compileRowFinder (table: Table, where: Expr | null | undefined, scope: Scope): RowFinder {
  const condition = where ? compileExpression(where, scope, 'boolean') : undefined
  const key = where ? compileKey(table, where, scope) : undefined
  const isMatch = (values: readonly Value[], context: RunContext): boolean =>
    condition === undefined || condition.evaluate(values, context) === true
  if (key !== undefined) {
    return (context, visit) => {
      const keyText = key(context)
      const values = keyText === undefined ? undefined : context.transaction.read(table, keyText)
      if (values !== undefined && isMatch(values, context)) visit(values, keyText as string)
    }
  }
  const index = where ? compileIndexLookup(table, where, scope) : undefined
  if (index !== undefined) {
    return (context, visit) => {
      const value = index.value.evaluate([], context)
      if (value === null) return
      context.transaction.scanIndex(table, index.column, value, (values, keyText) => { if (isMatch(values, context)) visit(values, keyText) })
    }
  }
  return (context, visit) => {
    context.transaction.scan(table, (values, keyText) => { if (isMatch(values, context)) visit(values, keyText) })
  }
}

function compileKey (table: Table, where: Expr, scope: Scope): ((context: RunContext) => string | undefined) | undefined {
  if (table.keyColumns.length === 0) return undefined
  const equalities = new Map<number, Expression>()
  collectEqualities(table, where, scope, equalities)
  const parts = table.keyColumns.map((column) => equalities.get(column))
  if (parts.some((part) => part === undefined)) return undefined
  const width = table.definition.columns.length
  return (context) => {
    const values: Value[] = new Array<Value>(width).fill(null)
    for (const [index, column] of table.keyColumns.entries()) {
      const value = (parts[index] as Expression).evaluate([], context)
      if (value === null) return undefined
      values[column] = parseValue(table.readColumnType(column), value)
    }
    return table.computeKey(values)
  }
}

function compileIndexLookup (table: Table, where: Expr, scope: Scope): { column: number, value: Expression } | undefined {
  const equalities = new Map<number, Expression>()
  collectEqualities(table, where, scope, equalities)
  for (const [column, value] of equalities) {
    if (table.hasIndex(column) && value.type === table.readColumnType(column)) return { column, value }
  }
  return undefined
}

/** Collects the conditions `column = constant` that every matching row must meet. */
function collectEqualities (table: Table, node: Expr, scope: Scope, equalities: Map<number, Expression>): void {
  if (node.type !== 'binary') return
  if (node.op === 'AND') {
    collectEqualities(table, node.left, scope, equalities)
    collectEqualities(table, node.right, scope, equalities)
  }
  if (node.op !== '=') return
  const [column, value] = node.left.type === 'ref' ? [node.left, node.right] : [node.right, node.left]
  if (column.type !== 'ref' || !isConstant(value)) return
  const index = scope.findColumn(column.name, column.table?.name)
  equalities.set(index, compileExpression(value, scope, table.readColumnType(index)))
}

function isConstant (node: Expr): boolean {
  if (node.type === 'cast') return isConstant(node.operand)
  return node.type === 'parameter' || node.type === 'string' || node.type === 'integer'
}
