import type { Expr, ExprCall, SelectFromStatement } from 'pgsql-ast-parser'
import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'
import { controlFunctions } from '../member/control-functions.js'
import { compileExpression } from './compile-expression.js'
import type { CompileContext } from './compile-context.js'
import { compileOrder } from './compile-order.js'
import { compileProjection } from './compile-projection.js'
import { compileRowFinder } from './compile-row-finder.js'
import type { Expression } from './expression.js'
import type { Plan } from './plan.js'
import { runAggregates } from './run-aggregates.js'
import type { RunContext } from './run-context.js'
import type { Scope } from './scope.js'

type Rows = Iterable<readonly Value[]>

interface Source {
  scope: Scope
  control: Plan['control']
  read: (context: RunContext) => Rows
}

/** Compiles SELECT from one table, from one set-returning function, or without FROM. */
export function compileSelect (statement: SelectFromStatement, context: CompileContext): Omit<Plan, 'parameterTypes'> {
  checkSupported(statement)
  const { selected, call } = findSourceCall(statement)
  const source = call === undefined ? compileTableSource(statement, context) : compileCallSource(call.node, call.alias, statement, context)
  const { scope } = source
  const isLocking = statement.for !== undefined && statement.for !== null
  scope.aggregates = []
  const groups = (statement.groupBy ?? []).map((node) => compileExpression(node, scope))
  const projection = compileProjection(selected, scope)
  const order = compileOrder(statement.orderBy ?? [], projection.columns, scope)
  const { aggregates } = scope
  const isAggregate = aggregates.length > 0 || groups.length > 0
  const limit = compileLimit(statement.limit?.limit, scope)
  const offset = compileLimit(statement.limit?.offset, scope)
  const run = (runContext: RunContext): Rows => {
    let rows = source.read(runContext)
    if (isAggregate) rows = runAggregates(rows, groups, aggregates, scope.columns.length, runContext)
    let pairs = projectRows(rows, projection.project, runContext)
    if (order !== undefined) pairs = order(pairs, runContext)
    return takeRows(pairs, Number(offset?.evaluate([], runContext) ?? 0), readLimit(limit, runContext))
  }
  const isLazy = call !== undefined && order === undefined
  return {
    command: 'SELECT',
    columns: projection.columns,
    isWrite: isLocking,
    control: source.control,
    sleepSeconds: compileSleepSeconds(selected.map(({ expr }) => expr), scope),
    // Rows of a table are collected before another transaction can change the table; rows of a function are computed while they are sent.
    run: (runContext) => ({ count: 0, rows: isLazy ? run(runContext) : [...run(runContext)] })
  }
}

function checkSupported ({ distinct, having, from, skip }: SelectFromStatement): void {
  if (distinct || having || skip) throw SqlError.create('0A000', 'DISTINCT, HAVING and SKIP LOCKED are not supported')
  if ((from?.length ?? 0) > 1) throw SqlError.create('0A000', 'joins are not supported')
}

/** Finds the set-returning function of a statement: in FROM, or as its only output column. */
function findSourceCall (statement: SelectFromStatement): { selected: NonNullable<SelectFromStatement['columns']>, call?: { node: ExprCall, alias: string } } {
  const selected = statement.columns ?? []
  const from = statement.from?.[0]
  if (from?.type === 'call') return { selected, call: { node: from, alias: from.alias?.name ?? from.function.name } }
  const onlyColumn = selected.length === 1 ? selected[0] : undefined
  if (from === undefined && onlyColumn?.expr.type === 'call' && isSetReturning(onlyColumn.expr.function.name)) {
    return { selected: [{ expr: { type: 'ref', name: '*' } }], call: { node: onlyColumn.expr, alias: onlyColumn.alias?.name ?? onlyColumn.expr.function.name } }
  }
  return { selected }
}

function isSetReturning (name: string): boolean {
  return name.toLowerCase() === 'generate_series' || name.toLowerCase() in controlFunctions
}

function compileTableSource (statement: SelectFromStatement, context: CompileContext): Source {
  const from = statement.from?.[0]
  if (from === undefined) {
    const scope = context.createScope([])
    const condition = statement.where ? compileExpression(statement.where, scope, 'boolean') : undefined
    return { scope, control: null, read: (runContext) => condition === undefined || condition.evaluate([], runContext) === true ? [[]] : [] }
  }
  if (from.type !== 'table') throw SqlError.create('0A000', 'subqueries are not supported')
  const name = from.name.name
  const table = context.findTable(name)
  const scope = context.createScope(table.definition.columns, [name, from.name.alias ?? name])
  const find = compileRowFinder(table, statement.where, scope)
  const isLocking = Boolean(statement.for)
  return {
    scope,
    control: null,
    read: (runContext) => {
      const rows: Array<readonly Value[]> = []
      find(runContext, (values, key) => {
        if (isLocking) runContext.transaction.lock(table, key)
        rows.push(values)
      })
      return rows
    }
  }
}

function compileCallSource (call: ExprCall, alias: string, statement: SelectFromStatement, context: CompileContext): Source {
  const name = call.function.name.toLowerCase()
  const definition = controlFunctions[name]
  if (definition === undefined && name !== 'generate_series') throw SqlError.create('42883', `function ${name} does not exist`)
  const columns = definition?.columns ?? [{ name: alias, type: 'integer' as const }]
  const argumentScope = context.createScope([])
  const parameters = call.args.map((argument, index) => compileExpression(argument, argumentScope, definition?.parameters[index] ?? 'integer'))
  const scope = context.createScope(columns, [alias])
  const condition = statement.where ? compileExpression(statement.where, scope, 'boolean') : undefined
  const filter = (rows: Rows, runContext: RunContext): Rows => condition === undefined ? rows : filterRows(rows, condition, runContext)
  if (definition === undefined) return { scope, control: null, read: (runContext) => filter(generateSeries(parameters, runContext), runContext) }
  return { scope, control: { name, parameters }, read: (runContext) => filter(runContext.controlRows, runContext) }
}

function * generateSeries (parameters: Expression[], context: RunContext): Generator<readonly Value[]> {
  const [start = 0, end = 0, step = 1] = parameters.map((parameter) => Number(parameter.evaluate([], context)))
  if (step === 0) throw SqlError.create('22023', 'step size cannot equal zero')
  for (let value = start; step > 0 ? value <= end : value >= end; value += step) yield [value]
}

function * filterRows (rows: Rows, condition: Expression, context: RunContext): Generator<readonly Value[]> {
  for (const row of rows) {
    if (condition.evaluate(row, context) === true) yield row
  }
}

function * projectRows (rows: Rows, project: (row: readonly Value[], context: RunContext) => readonly Value[], context: RunContext): Iterable<[readonly Value[], readonly Value[]]> {
  for (const row of rows) yield [row, project(row, context)]
}

function * takeRows (pairs: Iterable<[readonly Value[], readonly Value[]]>, offset: number, limit: number): Generator<readonly Value[]> {
  if (limit <= 0) return
  let index = 0
  for (const [, output] of pairs) {
    if (index++ < offset) continue
    yield output
    if (index - offset >= limit) return
  }
}

function compileLimit (node: Expr | null | undefined, scope: Scope): Expression | undefined {
  return node ? compileExpression(node, scope, 'bigint') : undefined
}

function readLimit (limit: Expression | undefined, context: RunContext): number {
  const value = limit?.evaluate([], context)
  return value === undefined || value === null ? Infinity : Number(value)
}

function compileSleepSeconds (nodes: Expr[], scope: Scope): Expression | null {
  const call = nodes.find((node): node is ExprCall => node.type === 'call' && node.function.name.toLowerCase() === 'pg_sleep')
  const argument = call?.args[0]
  return argument === undefined ? null : compileExpression(argument, scope, 'numeric')
}
