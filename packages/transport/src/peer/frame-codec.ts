import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { Packr, Unpackr, type Options } from 'msgpackr'

const LENGTH_BYTES = 4
const MAX_FRAME_BYTES = 16 * 1024 * 1024

interface CreateOptions {
  /**
   * Sends the keys of an object once and refers to them afterwards, which halves the time to encode and decode an `execute`
   * call. Every encoded value must then reach the same decoder, in order.
   */
  sharesKeys?: boolean
}

/** Splits a byte stream into length-prefixed msgpackr values and encodes values the same way. */
export class FrameCodec {
  readonly #packr: Packr
  readonly #unpackr: Unpackr
  #chunks: Buffer[] = []
  #buffered = 0

  private constructor (sharesKeys: boolean) {
    this.#packr = new Packr(buildOptions(sharesKeys))
    this.#unpackr = new Unpackr(buildOptions(sharesKeys))
  }

  static create ({ sharesKeys = false }: CreateOptions = {}): FrameCodec {
    return new FrameCodec(sharesKeys)
  }

  /** When it throws and keys are shared, the peer may lack keys that later values refer to; the connection must then be closed. */
  encode (value: unknown): Buffer {
    const body = this.#packr.pack(value)
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
    frame.writeUInt32BE(body.length, 0)
    body.copy(frame, LENGTH_BYTES)
    return frame
  }

  /**
   * Takes bytes and returns the values that are now complete.
   * @throws TanagerusherError `protocol-violation` for a malformed or over-long frame; the connection must then be closed.
   */
  decode (bytes: Buffer): unknown[] {
    this.#chunks.push(bytes)
    this.#buffered += bytes.length
    const values: unknown[] = []
    for (let body = this.#takeFrame(); body !== undefined; body = this.#takeFrame()) values.push(this.#unpack(body))
    return values
  }

  #unpack (body: Buffer): unknown {
    try {
      return this.#unpackr.unpack(body)
    } catch (cause) {
      throw TanagerusherError.create('protocol-violation', { details: { reason: String((cause as Error).message) }, cause })
    }
  }

  #takeFrame (): Buffer | undefined {
    if (this.#buffered < LENGTH_BYTES) return undefined
    const head = this.#chunks[0] as Buffer
    const length = head.length >= LENGTH_BYTES ? head.readUInt32BE(0) : this.#mergeChunks().readUInt32BE(0)
    if (length > MAX_FRAME_BYTES) {
      throw TanagerusherError.create('protocol-violation', { details: { reason: `frame of ${length} bytes is over the limit of ${MAX_FRAME_BYTES}` } })
    }
    if (this.#buffered < LENGTH_BYTES + length) return undefined
    const all = this.#mergeChunks()
    const end = LENGTH_BYTES + length
    this.#chunks = all.length > end ? [all.subarray(end)] : []
    this.#buffered = all.length - end
    return all.subarray(LENGTH_BYTES, end)
  }

  #mergeChunks (): Buffer {
    if (this.#chunks.length > 1) this.#chunks = [Buffer.concat(this.#chunks, this.#buffered)]
    return this.#chunks[0] as Buffer
  }
}

/** msgpackr keeps the known keys in the options object, so the two directions must not share one. */
function buildOptions (sharesKeys: boolean): Options {
  return sharesKeys
    ? { useRecords: true, sequential: true, mapsAsObjects: true, moreTypes: false }
    : { useRecords: false, moreTypes: false }
}
