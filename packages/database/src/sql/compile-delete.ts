import type { DeleteStatement } from 'pgsql-ast-parser'
import type { CompileContext } from './compile-context.js'
import { compileProjection } from './compile-projection.js'
import { compileRowCollector } from './compile-row-collector.js'
import type { Plan } from './plan.js'

/** Compiles DELETE. */
export function compileDelete (statement: DeleteStatement, context: CompileContext): Omit<Plan, 'parameterTypes'> {
  const table = context.findTable(statement.from.name)
  const scope = context.createScope(table.definition.columns, [statement.from.name])
  const collect = compileRowCollector(table, statement.where, scope)
  const returning = statement.returning ? compileProjection(statement.returning, scope) : undefined
  return {
    command: 'DELETE',
    columns: returning?.columns ?? null,
    isWrite: true,
    control: null,
    sleepSeconds: null,
    run: (runContext) => {
      const found = collect(runContext)
      for (const [key] of found) runContext.transaction.delete(table, key)
      return { count: found.length, rows: returning === undefined ? null : found.map(([, values]) => returning.project(values, runContext)) }
    }
  }
}
