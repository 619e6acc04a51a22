import { Writable } from 'node:stream'

interface Sink {
  readonly writableLength: number
  write(text: string): boolean
}

interface CreateOptions {
  sink: Sink
  /** Unix time in ms. */
  readTime: () => number
  linesPerSecond?: number
  bufferBytes?: number
}

/** Above what a busy host logs in a bad second; more tells an operator nothing new and costs processor time. */
const LINES_PER_SECOND = 300
/** A reader that stalls costs this much memory at most. */
const BUFFER_BYTES = 256 * 1024

/**
 * Passes log lines on without ever waiting for their reader. Lines over the rate, and those that a stalled reader would pile
 * up, are left out; the next line that passes is preceded by one that counts them.
 */
export class BoundedLogStream extends Writable {
  readonly #sink: Sink
  readonly #readTime: () => number
  readonly #linesPerSecond: number
  readonly #bufferBytes: number
  #second = 0
  #lines = 0
  #leftOut = 0

  private constructor ({ sink, readTime, linesPerSecond = LINES_PER_SECOND, bufferBytes = BUFFER_BYTES }: CreateOptions) {
    super({ decodeStrings: false })
    this.#sink = sink
    this.#readTime = readTime
    this.#linesPerSecond = linesPerSecond
    this.#bufferBytes = bufferBytes
  }

  static create (options: CreateOptions): BoundedLogStream {
    return new BoundedLogStream(options)
  }

  override _write (line: string | Buffer, _encoding: BufferEncoding, done: () => void): void {
    this.#pass(String(line))
    done()
  }

  #pass (line: string): void {
    const now = this.#readTime()
    const second = Math.floor(now / 1000)
    if (second !== this.#second) {
      this.#second = second
      this.#lines = 0
    }
    if (this.#lines >= this.#linesPerSecond || this.#sink.writableLength > this.#bufferBytes) {
      this.#leftOut++
      return
    }
    this.#lines++
    if (this.#leftOut > 0) {
      this.#sink.write(`${JSON.stringify({ level: 'warn', message: 'log lines left out', count: this.#leftOut, timestamp: new Date(now).toISOString() })}\n`)
      this.#leftOut = 0
    }
    this.#sink.write(line)
  }
}
