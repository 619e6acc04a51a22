import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { FrontendFrame } from './frontend-frame.js'

interface CreateOptions {
  /** Longest message accepted after the log-in, without the type byte. */
  maximumMessageBytes: number
}

const LENGTH_BYTES = 4
const HEADER_BYTES = 5
// PostgreSQL itself accepts startup packets up to this length.
const MAXIMUM_STARTUP_BYTES = 10_000
// Longest SASL response that a SCRAM client sends, with room for long user names.
const MAXIMUM_LOG_IN_BYTES = 10_000

/**
 * Splits the bytes received from a caller into frontend messages, whatever pieces they arrive in. A message whose length is
 * over the limit is rejected as soon as its header arrives, so it is never buffered.
 */
export class FrameReader {
  readonly #maximumMessageBytes: number
  #chunks: Buffer[] = []
  #buffered = 0
  #isLoggedIn = false

  private constructor ({ maximumMessageBytes }: CreateOptions) {
    this.#maximumMessageBytes = maximumMessageBytes
  }

  static create (options: CreateOptions): FrameReader {
    return new FrameReader(options)
  }

  /** Bytes received and not yet read. */
  get bufferedBytes (): number {
    return this.#buffered
  }

  /** Raises the length limit from that of log-in messages to that of statements. */
  allowLongMessages (): void {
    this.#isLoggedIn = true
  }

  push (bytes: Buffer): void {
    this.#chunks.push(bytes)
    this.#buffered += bytes.length
  }

  /**
   * Reads a startup packet: a length and a body without a type byte.
   * @throws TanagerusherError `protocol-violation` for a length outside the limits
   */
  readStartup (): Buffer | undefined {
    if (this.#buffered < LENGTH_BYTES) return undefined
    const length = this.#peek(LENGTH_BYTES).readUInt32BE(0)
    checkLength(length, 2 * LENGTH_BYTES, MAXIMUM_STARTUP_BYTES)
    return this.#buffered < length ? undefined : this.#take(length).subarray(LENGTH_BYTES)
  }

  /**
   * Reads the next message.
   * @throws TanagerusherError `protocol-violation` for a length outside the limits
   */
  read (): FrontendFrame | undefined {
    if (this.#buffered < HEADER_BYTES) return undefined
    const header = this.#peek(HEADER_BYTES)
    const length = header.readUInt32BE(1)
    checkLength(length, LENGTH_BYTES, this.#isLoggedIn ? this.#maximumMessageBytes : MAXIMUM_LOG_IN_BYTES)
    if (this.#buffered < length + 1) return undefined
    const bytes = this.#take(length + 1)
    return { type: bytes[0] as number, bytes }
  }

  /** First chunk, merged with the following ones only when it holds fewer than `count` bytes. */
  #peek (count: number): Buffer {
    const head = this.#chunks[0] as Buffer
    return head.length >= count ? head : this.#merge()
  }

  #take (count: number): Buffer {
    const head = this.#peek(count)
    this.#buffered -= count
    if (head.length === count) this.#chunks.shift()
    else this.#chunks[0] = head.subarray(count)
    return head.subarray(0, count)
  }

  #merge (): Buffer {
    const merged = Buffer.concat(this.#chunks, this.#buffered)
    this.#chunks = [merged]
    return merged
  }
}

function checkLength (length: number, minimum: number, maximum: number): void {
  if (length >= minimum && length <= maximum) return
  const reason = `message length ${length} is outside ${minimum} to ${maximum}`
  throw TanagerusherError.create('protocol-violation', { details: { reason } })
}
