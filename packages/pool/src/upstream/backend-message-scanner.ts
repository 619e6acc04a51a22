const HEADER_BYTES = 5
const MAX_MESSAGE_BYTES = 1024 * 1024 * 1024

type HandleMessage = (type: number, message: Buffer) => void

/**
 * Splits the byte stream of an upstream into messages. It reads only the type and length of a message and copies bytes only when
 * a message spans several socket reads.
 */
export class BackendMessageScanner {
  readonly #handleMessage: HandleMessage
  #chunks: Buffer[] = []
  #bufferedBytes = 0
  /** Number of buffered bytes below which the next message is certainly incomplete. */
  #requiredBytes = HEADER_BYTES

  private constructor (handleMessage: HandleMessage) {
    this.#handleMessage = handleMessage
  }

  static create (handleMessage: HandleMessage): BackendMessageScanner {
    return new BackendMessageScanner(handleMessage)
  }

  /** @throws RangeError when a message length is invalid; the connection must then be closed. */
  scan (bytes: Buffer): void {
    this.#chunks.push(bytes)
    this.#bufferedBytes += bytes.length
    if (this.#bufferedBytes < this.#requiredBytes) return
    const all = this.#chunks.length === 1 ? bytes : Buffer.concat(this.#chunks, this.#bufferedBytes)
    let offset = 0
    this.#requiredBytes = HEADER_BYTES
    while (all.length - offset >= HEADER_BYTES) {
      const length = all.readUInt32BE(offset + 1)
      if (length < 4 || length > MAX_MESSAGE_BYTES) throw new RangeError(`message length ${length} is invalid`)
      if (all.length - offset < 1 + length) {
        this.#requiredBytes = 1 + length
        break
      }
      this.#handleMessage(all[offset] as number, all.subarray(offset, offset + 1 + length))
      offset += 1 + length
    }
    this.#bufferedBytes = all.length - offset
    this.#chunks = this.#bufferedBytes === 0 ? [] : [all.subarray(offset)]
  }
}
