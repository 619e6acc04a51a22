import type { Expr, InsertStatement } from 'pgsql-ast-parser'
import { parseValue } from '../ledger/parse-value.js'
import { readCurrentTimestamp } from '../ledger/read-current-timestamp.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Table } from '../ledger/table.js'
import type { Value } from '../ledger/value.js'
import { checkNotNull } from './check-not-null.js'
import { compileExpression } from './compile-expression.js'
import type { CompileContext } from './compile-context.js'
import { compileProjection } from './compile-projection.js'
import type { Expression } from './expression.js'
import type { Plan } from './plan.js'
import type { RunContext } from './run-context.js'
import type { Scope } from './scope.js'

/** Compiles INSERT ... VALUES with ON CONFLICT DO NOTHING and RETURNING. */
export function compileInsert (statement: InsertStatement, context: CompileContext): Omit<Plan, 'parameterTypes'> {
  if (statement.insert.type !== 'values') throw SqlError.create('0A000', 'INSERT supports VALUES only')
  const ignoresConflicts = statement.onConflict?.do === 'do nothing'
  if (statement.onConflict && !ignoresConflicts) throw SqlError.create('0A000', 'ON CONFLICT supports DO NOTHING only')
  const table = context.findTable(statement.into.name)
  const scope = context.createScope(table.definition.columns, [statement.into.name])
  const targets = statement.columns?.map(({ name }) => table.findColumn(name)) ?? table.definition.columns.map((_, index) => index)
  const builders = statement.insert.values.map((nodes) => compileRow(table, targets, nodes, scope))
  const returning = statement.returning ? compileProjection(statement.returning, scope) : undefined
  return {
    command: 'INSERT',
    columns: returning?.columns ?? null,
    isWrite: true,
    control: null,
    sleepSeconds: null,
    run: (runContext) => {
      const inserted = builders.map((build) => insertRow(table, build(runContext), ignoresConflicts, runContext)).filter((row) => row !== undefined)
      return { count: inserted.length, rows: returning === undefined ? null : inserted.map((row) => returning.project(row, runContext)) }
    }
  }
}

function compileRow (table: Table, targets: readonly number[], nodes: readonly Expr[], scope: Scope): (context: RunContext) => Value[] {
  if (nodes.length > targets.length) throw SqlError.create('42601', 'INSERT has more expressions than target columns')
  const parts = nodes.flatMap((node, index) => {
    const column = targets[index] as number
    if (node.type === 'default') return []
    return [{ column, expression: compileExpression(node, scope, table.readColumnType(column)) }]
  })
  const assignedColumns = new Set(parts.map(({ column }) => column))
  const defaults = table.definition.columns.map((_, index) => index).filter((index) => !assignedColumns.has(index))
  return (context) => buildRow(table, parts, defaults, context)
}

function buildRow (table: Table, parts: Array<{ column: number, expression: Expression }>, defaults: readonly number[], context: RunContext): Value[] {
  const values = new Array<Value>(table.definition.columns.length)
  for (const { column, expression } of parts) values[column] = parseValue(table.readColumnType(column), expression.evaluate([], context))
  for (const column of defaults) values[column] = readDefault(table, column)
  checkNotNull(table, values)
  return values
}

function readDefault (table: Table, column: number): Value {
  const value = table.definition.columns[column]?.default ?? null
  if (typeof value !== 'object' || value === null) return value
  return readCurrentTimestamp()
}

function insertRow (table: Table, values: Value[], ignoresConflicts: boolean, { transaction }: RunContext): Value[] | undefined {
  const key = table.computeKey(values)
  if (transaction.read(table, key) === undefined) {
    transaction.put(table, key, values)
    return values
  }
  if (ignoresConflicts) return undefined
  throw SqlError.create('23505', `duplicate key value violates unique constraint "${table.definition.name}_pkey"`)
}
