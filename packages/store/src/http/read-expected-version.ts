import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { IncomingHttpHeaders } from 'node:http'

/**
 * Version that a conditional call expects: `If-Match: "V"`, or `If-None-Match: *` for an object that must not exist (0).
 * @throws `object-invalid` when the call has neither; the store takes no unconditional updates.
 */
export function readExpectedVersion (headers: IncomingHttpHeaders, object: string): number {
  if (headers['if-none-match'] === '*') return 0
  const match = /^"?(\d+)"?$/.exec(headers['if-match'] ?? '')
  if (match !== null) return Number(match[1])
  throw TanagerusherError.create('object-invalid', { details: { object, path: 'If-Match', found: 'no condition' } })
}
