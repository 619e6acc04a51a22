import type { Expr, ExprBinary, ExprCall, ExprUnary } from 'pgsql-ast-parser'
import type { ColumnType } from '../ledger/column-type.js'
import { parseTypeName } from '../ledger/parse-type-name.js'
import { parseValue } from '../ledger/parse-value.js'
import { readCurrentTimestamp } from '../ledger/read-current-timestamp.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'
import { compareValues } from './compare-values.js'
import { compileAggregate } from './compile-aggregate.js'
import type { Expression } from './expression.js'
import { scalarFunctions } from './scalar-functions.js'
import type { Scope } from './scope.js'

/** Compiles an expression. `expected` is the type that the context requires, which parameters and untyped literals take. */
export function compileExpression (node: Expr, scope: Scope, expected?: ColumnType): Expression {
  switch (node.type) {
    case 'ref': {
      const index = scope.findColumn(node.name, node.table?.name)
      return { type: (scope.columns[index] as { type: ColumnType }).type, evaluate: (row) => row[index] as Value }
    }
    case 'parameter': {
      const index = Number(node.name.slice(1)) - 1
      return { type: scope.chooseParameterType(index, expected), evaluate: (_, { parameters }) => parameters[index] ?? null }
    }
    case 'integer':
      return compileConstant(node.value, Math.abs(node.value) > 0x7fff_ffff ? 'bigint' : 'integer')
    case 'numeric':
      return compileConstant(node.value, 'numeric')
    case 'string':
      return compileConstant(parseValue(expected ?? 'text', node.value), expected ?? 'text')
    case 'boolean':
      return compileConstant(node.value, 'boolean')
    case 'null':
      return compileConstant(null, expected ?? 'text')
    case 'cast':
      return compileCast(node.operand, 'name' in node.to ? parseTypeName(node.to.name) : 'text', scope)
    case 'unary':
      return compileUnary(node, scope, expected)
    case 'binary':
      return compileBinary(node, scope)
    case 'ternary':
      return compileBetween(node.value, node.lo, node.hi, node.op === 'NOT BETWEEN', scope)
    case 'call':
      return compileCall(node, scope, expected)
    case 'keyword':
      return compileKeyword(node.keyword)
    case 'case':
      return compileCase(node.whens, node.else ?? null, scope, expected)
    default:
      throw SqlError.create('0A000', `expression of type ${node.type} is not supported`)
  }
}

function compileConstant (value: Value, type: ColumnType): Expression {
  return { type, evaluate: () => value }
}

function compileCast (operand: Expr, type: ColumnType, scope: Scope): Expression {
  const inner = compileExpression(operand, scope, type)
  return { type, evaluate: (row, context) => parseValue(type, inner.evaluate(row, context)) }
}

function compileUnary (node: ExprUnary, scope: Scope, expected: ColumnType | undefined): Expression {
  const operand = compileExpression(node.operand, scope, node.op === 'NOT' ? 'boolean' : expected)
  switch (node.op) {
    case '-':
      return { type: operand.type, evaluate: (row, context) => mapValue(operand.evaluate(row, context), (value) => -Number(value)) }
    case '+':
      return operand
    case 'NOT':
      return { type: 'boolean', evaluate: (row, context) => mapValue(operand.evaluate(row, context), (value) => value !== true) }
    case 'IS NULL':
      return { type: 'boolean', evaluate: (row, context) => operand.evaluate(row, context) === null }
    case 'IS NOT NULL':
      return { type: 'boolean', evaluate: (row, context) => operand.evaluate(row, context) !== null }
    case 'IS TRUE':
      return { type: 'boolean', evaluate: (row, context) => operand.evaluate(row, context) === true }
    case 'IS FALSE':
      return { type: 'boolean', evaluate: (row, context) => operand.evaluate(row, context) === false }
    default:
      throw SqlError.create('0A000', `operator ${node.op} is not supported`)
  }
}

function compileBinary (node: ExprBinary, scope: Scope): Expression {
  if (node.op === 'AND' || node.op === 'OR') return compileLogic(node, scope)
  if (node.op === 'IN' || node.op === 'NOT IN') return compileIn(node, scope)
  if (node.op === '||') return compileConcatenation(node, scope)
  const [left, right] = compileOperands(node.left, node.right, scope)
  const comparison = COMPARISONS[node.op]
  if (comparison !== undefined) {
    return { type: 'boolean', evaluate: (row, context) => combineValues(left.evaluate(row, context), right.evaluate(row, context), (a, b) => comparison(compareValues(a, b))) }
  }
  return compileArithmetic(node.op, left, right)
}

function compileConcatenation (node: ExprBinary, scope: Scope): Expression {
  const left = compileExpression(node.left, scope, 'text')
  const right = compileExpression(node.right, scope, 'text')
  return { type: 'text', evaluate: (row, context) => combineValues(left.evaluate(row, context), right.evaluate(row, context), (a, b) => `${String(a)}${String(b)}`) }
}

const COMPARISONS: Record<string, (order: number) => boolean> = {
  '=': (order) => order === 0,
  '!=': (order) => order !== 0,
  '<': (order) => order < 0,
  '<=': (order) => order <= 0,
  '>': (order) => order > 0,
  '>=': (order) => order >= 0
}

function compileArithmetic (operator: string, left: Expression, right: Expression): Expression {
  const type = chooseArithmeticType(left.type, right.type)
  const isInteger = type !== 'numeric'
  const compute = chooseArithmetic(operator, isInteger)
  return {
    type,
    evaluate: (row, context) => combineValues(left.evaluate(row, context), right.evaluate(row, context), (a, b) => {
      const result = compute(Number(a), Number(b))
      return isInteger ? parseValue(type, result) : result
    })
  }
}

function chooseArithmeticType (left: ColumnType, right: ColumnType): ColumnType {
  if (left === 'integer' && right === 'integer') return 'integer'
  const isInteger = (type: ColumnType): boolean => type === 'integer' || type === 'bigint'
  return isInteger(left) && isInteger(right) ? 'bigint' : 'numeric'
}

function chooseArithmetic (operator: string, isInteger: boolean): (left: number, right: number) => number {
  switch (operator) {
    case '+': return (left, right) => left + right
    case '-': return (left, right) => left - right
    case '*': return (left, right) => left * right
    case '%': return (left, right) => left % checkDivisor(right)
    case '/': return (left, right) => isInteger ? Math.trunc(left / checkDivisor(right)) : left / checkDivisor(right)
    default: throw SqlError.create('0A000', `operator ${operator} is not supported`)
  }
}

function checkDivisor (divisor: number): number {
  if (divisor === 0) throw SqlError.create('22012', 'division by zero')
  return divisor
}

function compileLogic (node: ExprBinary, scope: Scope): Expression {
  const left = compileExpression(node.left, scope, 'boolean')
  const right = compileExpression(node.right, scope, 'boolean')
  const decidingValue = node.op === 'OR'
  return {
    type: 'boolean',
    evaluate: (row, context) => {
      const first = left.evaluate(row, context)
      if (first === decidingValue) return decidingValue
      const second = right.evaluate(row, context)
      if (second === decidingValue) return decidingValue
      return first === null || second === null ? null : !decidingValue
    }
  }
}

function compileIn (node: ExprBinary, scope: Scope): Expression {
  if (node.right.type !== 'list') throw SqlError.create('0A000', 'IN supports lists of values only')
  const left = compileExpression(node.left, scope)
  const items = node.right.expressions.map((item) => compileExpression(item, scope, left.type))
  const isIn = node.op === 'IN'
  return {
    type: 'boolean',
    evaluate: (row, context) => mapValue(left.evaluate(row, context), (value) =>
      items.some((item) => isEqual(value, item.evaluate(row, context))) === isIn)
  }
}

function isEqual (left: Value, right: Value): boolean {
  return left !== null && right !== null && compareValues(left, right) === 0
}

function compileBetween (value: Expr, low: Expr, high: Expr, isNegated: boolean, scope: Scope): Expression {
  const operand = compileExpression(value, scope)
  const bounds = [low, high].map((bound) => compileExpression(bound, scope, operand.type)) as [Expression, Expression]
  return {
    type: 'boolean',
    evaluate: (row, context) => {
      const [tested, from, to] = [operand, ...bounds].map((part) => part.evaluate(row, context)) as [Value, Value, Value]
      if (tested === null || from === null || to === null) return null
      return (compareValues(tested, from) >= 0 && compareValues(tested, to) <= 0) !== isNegated
    }
  }
}

/** Compiles both sides so that a parameter or a literal takes the type of the other side. */
function compileOperands (left: Expr, right: Expr, scope: Scope): [Expression, Expression] {
  if (isUntyped(left, scope) && !isUntyped(right, scope)) {
    const typed = compileExpression(right, scope)
    return [compileExpression(left, scope, typed.type), typed]
  }
  const typed = compileExpression(left, scope)
  return [typed, compileExpression(right, scope, typed.type)]
}

function isUntyped (node: Expr, scope: Scope): boolean {
  return node.type === 'string' || node.type === 'null' || (node.type === 'parameter' && scope.isUntypedParameter(Number(node.name.slice(1)) - 1))
}

function compileCall (node: ExprCall, scope: Scope, expected: ColumnType | undefined): Expression {
  const name = node.function.name.toLowerCase()
  const aggregate = compileAggregate(name, node.args, node.distinct !== undefined, scope, compileExpression)
  if (aggregate !== undefined) return aggregate
  const definition = scalarFunctions[name]
  if (definition === undefined) throw SqlError.create('42883', `function ${name} does not exist`)
  const parameters = node.args.map((argument, index) => compileExpression(argument, scope, definition.parameters[index] ?? expected))
  const type = definition.type ?? parameters[0]?.type ?? 'text'
  return { type, evaluate: (row, context) => definition.compute(parameters.map((parameter) => parameter.evaluate(row, context)), context) }
}

function compileKeyword (keyword: string): Expression {
  if (keyword === 'current_timestamp' || keyword === 'localtimestamp') {
    return { type: 'timestamptz', evaluate: () => readCurrentTimestamp() }
  }
  if (keyword === 'current_user' || keyword === 'session_user' || keyword === 'user') {
    return { type: 'text', evaluate: (_, { readSetting }) => readSetting('session_authorization') }
  }
  throw SqlError.create('0A000', `${keyword} is not supported`)
}

function compileCase (whens: Array<{ when: Expr, value: Expr }>, otherwise: Expr | null, scope: Scope, expected: ColumnType | undefined): Expression {
  const branches = whens.map(({ when, value }) => ({ when: compileExpression(when, scope, 'boolean'), value: compileExpression(value, scope, expected) }))
  const fallback = otherwise === null ? undefined : compileExpression(otherwise, scope, branches[0]?.value.type)
  return {
    type: branches[0]?.value.type ?? 'text',
    evaluate: (row, context) => {
      const branch = branches.find(({ when }) => when.evaluate(row, context) === true)
      return (branch?.value ?? fallback)?.evaluate(row, context) ?? null
    }
  }
}

function mapValue (value: Value, map: (value: Value) => Value): Value {
  return value === null ? null : map(value)
}

function combineValues (left: Value, right: Value, combine: (left: Value, right: Value) => Value): Value {
  return left === null || right === null ? null : combine(left, right)
}
