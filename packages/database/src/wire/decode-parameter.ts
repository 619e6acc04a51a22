import type { ColumnType } from '../ledger/column-type.js'
import { parseValue } from '../ledger/parse-value.js'
import { SqlError } from '../ledger/sql-error.js'
import type { Value } from '../ledger/value.js'

/** Decodes a bound parameter from text or binary format. @throws SqlError when it is not valid for its type. */
export function decodeParameter (bytes: Buffer | null, isBinary: boolean, type: ColumnType): Value {
  if (bytes === null) return null
  if (!isBinary) return parseValue(type, bytes.toString('utf8'))
  switch (type) {
    case 'text':
    case 'jsonb':
      return bytes.toString('utf8')
    case 'bytea':
      return `\\x${bytes.toString('hex')}`
    case 'boolean':
      return bytes[0] === 1
    case 'integer':
    case 'bigint':
      return parseValue(type, decodeInteger(bytes))
    default:
      throw SqlError.create('0A000', `binary parameters of type ${type} are not supported`)
  }
}

function decodeInteger (bytes: Buffer): number {
  if (bytes.length === 8) return Number(bytes.readBigInt64BE())
  if (bytes.length === 4) return bytes.readInt32BE()
  if (bytes.length === 2) return bytes.readInt16BE()
  throw SqlError.create('22P03', 'incorrect binary data format in bind parameter')
}
