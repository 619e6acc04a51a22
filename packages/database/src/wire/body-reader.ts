/** Reads the fields of one message body in order. @throws RangeError when a field exceeds the body. */
export class BodyReader {
  readonly #body: Buffer
  #offset = 0

  private constructor (body: Buffer) {
    this.#body = body
  }

  static create (body: Buffer): BodyReader {
    return new BodyReader(body)
  }

  get isAtEnd (): boolean { return this.#offset >= this.#body.length }

  readByte (): number {
    return this.#body.readUInt8(this.#offset++)
  }

  readInt16 (): number {
    const value = this.#body.readInt16BE(this.#offset)
    this.#offset += 2
    return value
  }

  readInt32 (): number {
    const value = this.#body.readInt32BE(this.#offset)
    this.#offset += 4
    return value
  }

  readText (): string {
    const end = this.#body.indexOf(0, this.#offset)
    if (end < 0) throw new RangeError('text without an end')
    const text = this.#body.toString('utf8', this.#offset, end)
    this.#offset = end + 1
    return text
  }

  readBytes (length: number): Buffer {
    if (this.#offset + length > this.#body.length) throw new RangeError('bytes past the end of the message')
    const bytes = this.#body.subarray(this.#offset, this.#offset + length)
    this.#offset += length
    return bytes
  }
}
