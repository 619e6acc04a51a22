import type { UpdateStatement } from 'pgsql-ast-parser'
import { parseValue } from '../ledger/parse-value.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Table } from '../ledger/table.js'
import type { Value } from '../ledger/value.js'
import { checkNotNull } from './check-not-null.js'
import { compileExpression } from './compile-expression.js'
import type { CompileContext } from './compile-context.js'
import { compileProjection } from './compile-projection.js'
import { compileRowCollector } from './compile-row-collector.js'
import type { Plan } from './plan.js'
import type { RunContext } from './run-context.js'

/** Compiles UPDATE. The expressions of the new values can refer to the old values. */
export function compileUpdate (statement: UpdateStatement, context: CompileContext): Omit<Plan, 'parameterTypes'> {
  if (statement.from) throw SqlError.create('0A000', 'UPDATE ... FROM is not supported')
  const { name, alias } = statement.table
  const table = context.findTable(name)
  const scope = context.createScope(table.definition.columns, [name, alias ?? name])
  const sets = statement.sets.map((set) => {
    const column = table.findColumn(set.column.name)
    return { column, expression: compileExpression(set.value, scope, table.readColumnType(column)) }
  })
  const collect = compileRowCollector(table, statement.where, scope)
  const returning = statement.returning ? compileProjection(statement.returning, scope) : undefined
  const computeValues = (values: readonly Value[], runContext: RunContext): Value[] => {
    const updated = [...values]
    for (const { column, expression } of sets) updated[column] = parseValue(table.readColumnType(column), expression.evaluate(values, runContext))
    return updated
  }
  return {
    command: 'UPDATE',
    columns: returning?.columns ?? null,
    isWrite: true,
    control: null,
    sleepSeconds: null,
    run: (runContext) => {
      const found = collect(runContext)
      const updated = found.map(([key, values]) => replaceRow(table, key, computeValues(values, runContext), runContext))
      return { count: updated.length, rows: returning === undefined ? null : updated.map((row) => returning.project(row, runContext)) }
    }
  }
}

function replaceRow (table: Table, key: string, values: Value[], { transaction }: RunContext): Value[] {
  checkNotNull(table, values)
  const newKey = table.keyColumns.length === 0 ? key : table.computeKey(values)
  if (newKey !== key) {
    if (transaction.read(table, newKey) !== undefined) {
      throw SqlError.create('23505', `duplicate key value violates unique constraint "${table.definition.name}_pkey"`)
    }
    transaction.delete(table, key)
  }
  transaction.put(table, newKey, values)
  return values
}
