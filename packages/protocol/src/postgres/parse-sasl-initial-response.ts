import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { err, ok, type Result } from 'neverthrow'

const HEADER_BYTES = 5

/** Parses a SASLInitialResponse: mechanism and first message. */
export function parseSaslInitialResponse (frame: Buffer): Result<{ mechanism: string, data: string }, TanagerusherError> {
  const end = frame.indexOf(0, HEADER_BYTES)
  if (end === -1 || frame.length < end + 5) return fail()
  const length = frame.readInt32BE(end + 1)
  if (length !== frame.length - end - 5) return fail()
  return ok({ mechanism: frame.toString('utf8', HEADER_BYTES, end), data: frame.toString('utf8', end + 5) })
}

function fail (): Result<never, TanagerusherError> {
  return err(TanagerusherError.create('protocol-violation', { details: { reason: 'SASL message is malformed' } }))
}
