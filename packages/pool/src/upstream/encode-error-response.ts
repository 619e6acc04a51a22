interface EncodeOptions {
  code: string
  text: string
}

/** Encodes an ErrorResponse for a statement that the pool, not the upstream, ends with an error. */
export function encodeErrorResponse ({ code, text }: EncodeOptions): Buffer<ArrayBuffer> {
  const body = Buffer.from(`SERROR\0VERROR\0C${code}\0M${text}\0\0`, 'utf8')
  const message = Buffer.allocUnsafe(5 + body.length)
  message[0] = 0x45
  message.writeUInt32BE(4 + body.length, 1)
  body.copy(message, 5)
  return message
}
