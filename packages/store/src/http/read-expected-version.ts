import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { IncomingHttpHeaders } from 'node:http'

/**
 * Reads the version that a conditional call expects: V from `If-Match: "V"`, or 0 from `If-None-Match: *` (the object must not exist).
 * @throws `object-invalid` when the call has neither header, because the store accepts no unconditional updates.
 */
export function readExpectedVersion (headers: IncomingHttpHeaders, object: string): number {
  if (headers['if-none-match'] === '*') return 0
  const match = /^"?(\d+)"?$/.exec(headers['if-match'] ?? '')
  if (match !== null) return Number(match[1])
  throw TanagerusherError.create('object-invalid', { details: { object, path: 'If-Match', found: 'no condition' } })
}
