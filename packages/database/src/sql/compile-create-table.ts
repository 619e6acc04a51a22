import type { CreateColumnDef, CreateTableStatement, Expr } from 'pgsql-ast-parser'
import { parseTypeName } from '../ledger/parse-type-name.js'
import { SqlError } from '../ledger/sql-error.js'
import { tableDefinitionSchema, type TableDefinition } from '../ledger/table-definition.js'
import type { Plan } from './plan.js'

/** Compiles CREATE TABLE [IF NOT EXISTS] with NOT NULL, DEFAULT and PRIMARY KEY. */
export function compileCreateTable (statement: CreateTableStatement): Omit<Plan, 'parameterTypes'> {
  const definition = buildDefinition(statement)
  return {
    command: 'CREATE TABLE',
    columns: null,
    isWrite: true,
    control: null,
    sleepSeconds: null,
    run: ({ transaction }) => {
      if (!transaction.hasTable(definition.name)) transaction.createTable(definition)
      else if (!statement.ifNotExists) throw SqlError.create('42P07', `relation "${definition.name}" already exists`)
      return { count: 0, rows: null }
    }
  }
}

function buildDefinition ({ name, columns, constraints = [] }: CreateTableStatement): TableDefinition {
  const defined = columns.filter((column): column is CreateColumnDef => column.kind === 'column')
  const keys = constraints.flatMap((constraint) => constraint.type === 'primary key' ? constraint.columns.map((column) => column.name) : [])
  const primaryKey = [...keys, ...defined.filter((column) => hasConstraint(column, 'primary key')).map((column) => column.name.name)]
  return tableDefinitionSchema.parse({
    name: name.name,
    primaryKey,
    columns: defined.map((column) => ({
      name: column.name.name,
      type: 'name' in column.dataType ? parseTypeName(column.dataType.name) : 'text',
      notNull: hasConstraint(column, 'not null') || primaryKey.includes(column.name.name),
      default: readDefault(column)
    }))
  })
}

function hasConstraint (column: CreateColumnDef, type: 'primary key' | 'not null'): boolean {
  return column.constraints?.some((constraint) => constraint.type === type) ?? false
}

function readDefault (column: CreateColumnDef): unknown {
  for (const constraint of column.constraints ?? []) {
    if (constraint.type === 'default') return readConstant(constraint.default)
  }
  return null
}

function readConstant (node: Expr): unknown {
  switch (node.type) {
    case 'integer':
    case 'numeric':
    case 'string':
    case 'boolean':
      return node.value
    case 'null':
      return null
    case 'cast':
      return readConstant(node.operand)
    case 'call':
      if (node.function.name.toLowerCase() === 'now') return { function: 'now' }
      break
    case 'keyword':
      if (node.keyword === 'current_timestamp') return { function: 'now' }
  }
  throw SqlError.create('0A000', 'DEFAULT supports constants and now() only')
}
