import type { ColumnType } from './column-type.js'
import { SqlError } from './sql-error.js'
import type { Value } from './value.js'

const INTEGER_LIMIT = 0x7fff_ffff
const TRUE_TEXTS = new Set(['t', 'true', 'on', 'yes', '1'])
const FALSE_TEXTS = new Set(['f', 'false', 'off', 'no', '0'])

/** Converts a value, usually in text form, to a column type. @throws SqlError 22P02 or 22003. */
export function parseValue (type: ColumnType, value: Value): Value {
  if (value === null) return null
  switch (type) {
    case 'integer':
    case 'bigint':
      return parseInteger(type, value)
    case 'numeric':
      return parseNumber(type, value)
    case 'boolean':
      return parseBoolean(value)
    case 'timestamptz':
      return parseTimestamp(value)
    case 'jsonb':
      return parseDocument(value)
    default:
      return typeof value === 'string' ? value : String(value)
  }
}

function parseInteger (type: ColumnType, value: Value): number {
  const number = Math.round(parseNumber(type, value))
  const limit = type === 'integer' ? INTEGER_LIMIT : Number.MAX_SAFE_INTEGER
  if (Math.abs(number) > limit) throw SqlError.create('22003', `${type} out of range`)
  return number
}

function parseNumber (type: ColumnType, value: Value): number {
  const number = typeof value === 'string' && value.trim() === '' ? NaN : Number(value)
  if (Number.isNaN(number)) throw createSyntaxError(type, value)
  return number
}

function parseBoolean (value: Value): boolean {
  if (typeof value === 'boolean') return value
  const text = String(value).toLowerCase()
  if (TRUE_TEXTS.has(text)) return true
  if (FALSE_TEXTS.has(text)) return false
  throw createSyntaxError('boolean', value)
}

function parseTimestamp (value: Value): string {
  const date = new Date(String(value))
  if (Number.isNaN(date.getTime())) throw createSyntaxError('timestamptz', value)
  return date.toISOString().replace('T', ' ').replace('Z', '+00')
}

function parseDocument (value: Value): string {
  try {
    return JSON.stringify(JSON.parse(String(value)))
  } catch {
    throw createSyntaxError('jsonb', value)
  }
}

function createSyntaxError (type: string, value: Value): SqlError {
  return SqlError.create('22P02', `invalid input syntax for type ${type}: "${String(value)}"`)
}
