import type { FrontendMessage } from './frontend-message.js'

const LENGTH_BYTES = 4
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024

/** Splits the bytes of a client into messages. Start-up packets have no type byte and are returned with an empty type. */
export class FrontendReader {
  /** Must be set after the start-up packet; messages have a type byte from then on. */
  isStarted = false
  #buffer: Buffer = Buffer.alloc(0)

  static create (): FrontendReader {
    return new FrontendReader()
  }

  push (bytes: Buffer): void {
    this.#buffer = this.#buffer.length === 0 ? bytes : Buffer.concat([this.#buffer, bytes])
  }

  /** Returns the next complete message. @throws RangeError when its length is invalid; the connection must then be closed. */
  next (): FrontendMessage | undefined {
    const typeBytes = this.isStarted ? 1 : 0
    if (this.#buffer.length < typeBytes + LENGTH_BYTES) return undefined
    const length = this.#buffer.readInt32BE(typeBytes)
    if (length < LENGTH_BYTES || length > MAX_MESSAGE_BYTES) throw new RangeError(`invalid message length of ${length} bytes`)
    const end = typeBytes + length
    if (this.#buffer.length < end) return undefined
    const type = typeBytes === 0 ? '' : String.fromCharCode(this.#buffer[0] as number)
    const body = this.#buffer.subarray(typeBytes + LENGTH_BYTES, end)
    this.#buffer = this.#buffer.subarray(end)
    return { type, body }
  }
}
