import type { Statement } from 'pgsql-ast-parser'
import type { ColumnType } from '../ledger/column-type.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Table } from '../ledger/table.js'
import { compileCreateTable } from './compile-create-table.js'
import { compileDelete } from './compile-delete.js'
import { compileInsert } from './compile-insert.js'
import { compileSelect } from './compile-select.js'
import { compileUpdate } from './compile-update.js'
import type { Plan } from './plan.js'
import { Scope } from './scope.js'
import type { CompileContext } from './compile-context.js'

interface CompileOptions {
  statement: Statement
  parameterCount: number
  literals: ReadonlyArray<string | number>
  /** Types of the parameters that the client declared. */
  declaredTypes?: ReadonlyArray<ColumnType | undefined>
  findTable: (name: string) => Table
}

/** Compiles a statement against the current tables. @throws SqlError when a name is unknown or a feature is not supported. */
export function compilePlan ({ statement, parameterCount, literals, declaredTypes = [], findTable }: CompileOptions): Plan {
  const parameterTypes = [...declaredTypes]
  const context: CompileContext = {
    findTable,
    createScope: (columns, qualifiers = []) => Scope.create({ columns, qualifiers, parameterCount, literals, parameterTypes })
  }
  const plan = compileStatement(statement, context)
  const types = Array.from({ length: parameterCount + literals.length }, (_, index) => parameterTypes[index] ?? 'text')
  return { ...plan, parameterTypes: types }
}

function compileStatement (statement: Statement, context: CompileContext): Omit<Plan, 'parameterTypes'> {
  switch (statement.type) {
    case 'select':
      return compileSelect(statement, context)
    case 'insert':
      return compileInsert(statement, context)
    case 'update':
      return compileUpdate(statement, context)
    case 'delete':
      return compileDelete(statement, context)
    case 'create table':
      return compileCreateTable(statement)
    default:
      throw SqlError.create('0A000', `${statement.type} is not supported`)
  }
}
