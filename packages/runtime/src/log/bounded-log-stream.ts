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

/** Higher than the rate of a busy host with many failures. More lines give an operator no new information and cost processor time. */
const DEFAULT_LINES_PER_SECOND = 300
/** Limits the memory that a stalled reader can take up. */
const DEFAULT_BUFFER_BYTES = 256 * 1024

/**
 * Writes log lines to a sink without ever waiting for its reader. Lines above the rate limit are dropped, and so are lines that
 * arrive while a stalled reader leaves the sink's buffer over its limit. The next written line is preceded by one that states the
 * number of dropped lines.
 */
export class BoundedLogStream extends Writable {
  readonly #sink: Sink
  readonly #readTime: () => number
  readonly #linesPerSecond: number
  readonly #bufferBytes: number
  #currentSecond = 0
  #linesInSecond = 0
  #droppedLines = 0

  private constructor ({ sink, readTime, linesPerSecond = DEFAULT_LINES_PER_SECOND, bufferBytes = DEFAULT_BUFFER_BYTES }: CreateOptions) {
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
    this.#writeLine(String(line))
    done()
  }

  #writeLine (line: string): void {
    const now = this.#readTime()
    const second = Math.floor(now / 1000)
    if (second !== this.#currentSecond) {
      this.#currentSecond = second
      this.#linesInSecond = 0
    }
    if (this.#linesInSecond >= this.#linesPerSecond || this.#sink.writableLength > this.#bufferBytes) {
      this.#droppedLines++
      return
    }
    this.#linesInSecond++
    if (this.#droppedLines > 0) {
      this.#sink.write(`${JSON.stringify({ level: 'warn', message: 'log lines left out', count: this.#droppedLines, timestamp: new Date(now).toISOString() })}\n`)
      this.#droppedLines = 0
    }
    this.#sink.write(line)
  }
}
