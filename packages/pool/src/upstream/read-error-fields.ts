import type { ErrorFields } from './error-fields.js'

/** Reads the SQLSTATE and the message text of an ErrorResponse. */
export function readErrorFields (message: Buffer): ErrorFields {
  const fields: ErrorFields = { code: 'XX000', text: 'unknown error' }
  for (let offset = 5; offset < message.length && message[offset] !== 0;) {
    const end = message.indexOf(0, offset + 1)
    if (end < 0) break
    if (message[offset] === 0x43) fields.code = message.toString('latin1', offset + 1, end)
    if (message[offset] === 0x4d) fields.text = message.toString('utf8', offset + 1, end)
    offset = end + 1
  }
  return fields
}
