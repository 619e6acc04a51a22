import type { FrontendMessage } from './frontend-message.js'

/** Yields the complete frontend messages in `frames` and ignores an incomplete one at the end. */
export function * listFrontendMessages (frames: Uint8Array): Generator<FrontendMessage> {
  const buffer = Buffer.from(frames.buffer, frames.byteOffset, frames.byteLength)
  for (let offset = 0; offset + 5 <= buffer.length;) {
    const end = offset + 1 + buffer.readUInt32BE(offset + 1)
    if (end > buffer.length || end < offset + 5) return
    yield { type: buffer[offset] as number, message: buffer.subarray(offset, end) }
    offset = end
  }
}
