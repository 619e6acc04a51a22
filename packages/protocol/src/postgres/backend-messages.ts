import type { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'

type TransactionStatus = 'I' | 'T' | 'E'

const HEADER_BYTES = 5
const AUTHENTICATION_OK = 0
const AUTHENTICATION_SASL = 10
const AUTHENTICATION_SASL_CONTINUE = 11
const AUTHENTICATION_SASL_FINAL = 12

const READY: Record<TransactionStatus, Buffer> = {
  I: encodeMessage('Z', Buffer.from('I')),
  T: encodeMessage('Z', Buffer.from('T')),
  E: encodeMessage('Z', Buffer.from('E'))
}

/** Encoders of the backend messages that the proxy itself produces. */
export const backendMessages = {
  encodeAuthenticationOk: (): Buffer => encodeMessage('R', encodeInt32(AUTHENTICATION_OK)),

  encodeSaslMechanisms: (mechanisms: readonly string[]): Buffer =>
    encodeMessage('R', encodeInt32(AUTHENTICATION_SASL), Buffer.from(`${mechanisms.join('\0')}\0\0`)),

  encodeSaslContinue: (data: string): Buffer =>
    encodeMessage('R', encodeInt32(AUTHENTICATION_SASL_CONTINUE), Buffer.from(data)),

  encodeSaslFinal: (data: string): Buffer =>
    encodeMessage('R', encodeInt32(AUTHENTICATION_SASL_FINAL), Buffer.from(data)),

  encodeParameterStatus: (name: string, value: string): Buffer => encodeMessage('S', Buffer.from(`${name}\0${value}\0`)),

  encodeBackendKeyData: (processId: number, secret: number): Buffer =>
    encodeMessage('K', encodeInt32(processId), encodeInt32(secret)),

  /** Reports the newest supported minor version and the startup options that are not recognised. */
  encodeNegotiateProtocolVersion: (minorVersion: number, options: readonly string[]): Buffer =>
    encodeMessage('v', encodeInt32(minorVersion), encodeInt32(options.length), Buffer.from(options.map((name) => `${name}\0`).join(''))),

  encodeReadyForQuery: (status: TransactionStatus): Buffer => READY[status],

  encodeParseComplete: (): Buffer => encodeMessage('1'),

  encodeCloseComplete: (): Buffer => encodeMessage('3'),

  encodeCommandComplete: (tag: string): Buffer => encodeMessage('C', Buffer.from(`${tag}\0`)),

  /** ErrorResponse of a catalogue error. Severity `FATAL` means that the connection ends. */
  encodeError: (error: TanagerusherError, severity: 'ERROR' | 'FATAL'): Buffer => {
    const { kind, definition } = error
    const detail = `Error kind: ${kind}.`
    const fields = `S${severity}\0V${severity}\0C${definition.sqlState}\0M${error.message}\0D${detail}\0H${error.hint}\0\0`
    return encodeMessage('E', Buffer.from(fields))
  }
} as const

function encodeMessage (type: string, ...parts: Buffer[]): Buffer {
  let length = HEADER_BYTES
  for (const part of parts) length += part.length
  const message = Buffer.allocUnsafe(length)
  message.write(type, 0, 'latin1')
  message.writeUInt32BE(length - 1, 1)
  let offset = HEADER_BYTES
  for (const part of parts) offset += part.copy(message, offset)
  return message
}

function encodeInt32 (value: number): Buffer {
  const bytes = Buffer.allocUnsafe(4)
  bytes.writeUInt32BE(value >>> 0, 0)
  return bytes
}
