import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'

export type Startup =
  | { type: 'tls' }
  | { type: 'gss' }
  | { type: 'cancel', processId: number, secret: number }
  | { type: 'session', minorVersion: number, parameters: Map<string, string>, options: Map<string, string> }

const TLS_REQUEST_CODE = 80877103
const GSS_REQUEST_CODE = 80877104
const CANCEL_REQUEST_CODE = 80877102
const CANCEL_BODY_BYTES = 12
const MAJOR_VERSION = 3
const MAXIMUM_PARAMETERS = 64

/** Parses the body of a startup packet. `options` holds the settings of the `-c name=value` startup options. */
export function parseStartup (body: Buffer): Result<Startup, TanagerusherError> {
  const code = body.readUInt32BE(0)
  if (code === TLS_REQUEST_CODE) return ok({ type: 'tls' })
  if (code === GSS_REQUEST_CODE) return ok({ type: 'gss' })
  if (code === CANCEL_REQUEST_CODE) return parseCancel(body)
  if (code >>> 16 !== MAJOR_VERSION) return fail(`protocol version ${code >>> 16}.${code & 0xffff} is not supported`)
  const fields = body.subarray(4).toString('utf8').split('\0')
  // The last value and the list of parameters each end with a zero byte.
  if (fields.length < 2 || fields.at(-1) !== '' || fields.at(-2) !== '') return fail('startup parameters are not terminated')
  const names = fields.slice(0, -2)
  if (names.length % 2 !== 0) return fail('a startup parameter has no value')
  if (names.length > 2 * MAXIMUM_PARAMETERS) return fail(`more than ${MAXIMUM_PARAMETERS} startup parameters`)
  const parameters = new Map<string, string>()
  for (let index = 0; index < names.length; index += 2) parameters.set(names[index] as string, names[index + 1] as string)
  return ok({ type: 'session', minorVersion: code & 0xffff, parameters, options: parseOptions(parameters.get('options') ?? '') })
}

function parseCancel (body: Buffer): Result<Startup, TanagerusherError> {
  if (body.length !== CANCEL_BODY_BYTES) return fail('cancel request has a wrong length')
  return ok({ type: 'cancel', processId: body.readUInt32BE(4), secret: body.readUInt32BE(8) })
}

/** Parses `-c name=value` and `--name=value`, since clients use both. A backslash escapes a blank inside a value. */
function parseOptions (text: string): Map<string, string> {
  const options = new Map<string, string>()
  for (const match of text.matchAll(/(?:-c\s*|--)([\w.-]+)=((?:\\.|[^\s\\])*)/g)) {
    options.set((match[1] as string).replaceAll('-', '_'), (match[2] as string).replace(/\\(.)/g, '$1'))
  }
  return options
}

function fail (reason: string): Result<Startup, TanagerusherError> {
  return err(TanagerusherError.create('protocol-violation', { details: { reason } }))
}
