import type { SelectedColumn } from 'pgsql-ast-parser'
import type { Value } from '../ledger/value.js'
import { compileExpression } from './compile-expression.js'
import type { Expression } from './expression.js'
import type { RunContext } from './run-context.js'
import type { Scope } from './scope.js'
import type { ScopeColumn } from './scope-column.js'

interface Projection {
  columns: ScopeColumn[]
  project: (row: readonly Value[], context: RunContext) => readonly Value[]
}

/** Compiles a select or RETURNING list. */
export function compileProjection (selected: readonly SelectedColumn[], scope: Scope): Projection {
  const outputs = selected.flatMap((column) => compileColumn(column, scope))
  const columns = outputs.map(({ name, expression }) => ({ name, type: expression.type }))
  const isWholeRow = selected.length === 1 && isStar(selected[0] as SelectedColumn)
  const evaluators = outputs.map(({ expression }) => expression.evaluate)
  return {
    columns,
    project: isWholeRow ? (row) => row : (row, context) => evaluators.map((evaluate) => evaluate(row, context))
  }
}

function compileColumn (column: SelectedColumn, scope: Scope): Array<{ name: string, expression: Expression }> {
  if (isStar(column)) {
    return scope.columns.map(({ name, type }, index) => ({ name, expression: { type, evaluate: (row) => row[index] as Value } }))
  }
  return [{ name: column.alias?.name ?? chooseName(column), expression: compileExpression(column.expr, scope) }]
}

function isStar ({ expr }: SelectedColumn): boolean {
  return expr.type === 'ref' && expr.name === '*'
}

function chooseName ({ expr }: SelectedColumn): string {
  if (expr.type === 'ref') return expr.name
  if (expr.type === 'call') return expr.function.name.toLowerCase()
  if (expr.type === 'cast') return chooseName({ expr: expr.operand })
  return expr.type === 'case' ? 'case' : '?column?'
}
