import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { frontendTypes } from './frontend-types.js'

export type ExtendedMessage =
  | { type: 'parse', statement: string, text: string }
  | { type: 'bind', portal: string, statement: string }
  | { type: 'describe' | 'close', target: 'S' | 'P', name: string }
  | { type: 'execute', portal: string }

const HEADER_BYTES = 5

/**
 * Reads the names in an extended-protocol message: Parse, Bind, Describe, Close, Execute.
 * @throws TanagerusherError `protocol-violation` for a message whose strings are not terminated
 */
export function parseExtendedMessage (type: number, frame: Buffer): ExtendedMessage {
  if (type === frontendTypes.parse) {
    const [statement, textStart] = readString(frame, HEADER_BYTES)
    return { type: 'parse', statement, text: readString(frame, textStart)[0] }
  }
  if (type === frontendTypes.bind) {
    const [portal, statementStart] = readString(frame, HEADER_BYTES)
    return { type: 'bind', portal, statement: readString(frame, statementStart)[0] }
  }
  if (type === frontendTypes.execute) return { type: 'execute', portal: readString(frame, HEADER_BYTES)[0] }
  const target = frame.toString('latin1', HEADER_BYTES, HEADER_BYTES + 1)
  if (target !== 'S' && target !== 'P') throw createViolation('Describe or Close has an unknown target')
  const name = readString(frame, HEADER_BYTES + 1)[0]
  return { type: type === frontendTypes.describe ? 'describe' : 'close', target, name }
}

function readString (frame: Buffer, start: number): [string, number] {
  const end = frame.indexOf(0, start)
  if (end === -1) throw createViolation('a string is not terminated')
  return [frame.toString('utf8', start, end), end + 1]
}

function createViolation (reason: string): TanagerusherError {
  return TanagerusherError.create('protocol-violation', { details: { reason } })
}
