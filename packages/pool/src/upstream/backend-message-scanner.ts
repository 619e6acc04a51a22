const HEADER_BYTES = 5
const MAX_MESSAGE_BYTES = 1024 * 1024 * 1024

type HandleMessage = (type: number, message: Buffer) => void

/** Splits the byte stream of an upstream into messages. It reads type and length only and copies nothing it need not. */
export class BackendMessageScanner {
  readonly #handleMessage: HandleMessage
  #chunks: Buffer[] = []
  #buffered = 0
  /** Bytes that must be there before the next message can be complete. */
  #needed = HEADER_BYTES

  private constructor (handleMessage: HandleMessage) {
    this.#handleMessage = handleMessage
  }

  static create (handleMessage: HandleMessage): BackendMessageScanner {
    return new BackendMessageScanner(handleMessage)
  }

  /** @throws RangeError when a length cannot be right; the connection must then be closed. */
  scan (bytes: Buffer): void {
    this.#chunks.push(bytes)
    this.#buffered += bytes.length
    if (this.#buffered < this.#needed) return
    const all = this.#chunks.length === 1 ? bytes : Buffer.concat(this.#chunks, this.#buffered)
    let offset = 0
    this.#needed = HEADER_BYTES
    while (all.length - offset >= HEADER_BYTES) {
      const length = all.readUInt32BE(offset + 1)
      if (length < 4 || length > MAX_MESSAGE_BYTES) throw new RangeError(`message length ${length} is not valid`)
      if (all.length - offset < 1 + length) {
        this.#needed = 1 + length
        break
      }
      this.#handleMessage(all[offset] as number, all.subarray(offset, offset + 1 + length))
      offset += 1 + length
    }
    this.#buffered = all.length - offset
    this.#chunks = this.#buffered === 0 ? [] : [all.subarray(offset)]
  }
}
