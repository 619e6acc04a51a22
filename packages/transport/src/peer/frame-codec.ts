import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { Packr, Unpackr, type Options } from 'msgpackr'

const LENGTH_BYTES = 4
const MAX_FRAME_BYTES = 16 * 1024 * 1024

interface CreateOptions {
  /**
   * Sends the keys of an object once and refers to them in later values, which halves the time to encode and decode an `execute`
   * call. Every encoded value must then reach the same decoder, in order.
   */
  sharesKeys?: boolean
}

/** Splits a byte stream into length-prefixed msgpackr values and encodes values the same way. */
export class FrameCodec {
  readonly #packr: Packr
  readonly #unpackr: Unpackr
  #chunks: Buffer[] = []
  #bufferedBytes = 0

  private constructor (sharesKeys: boolean) {
    this.#packr = new Packr(buildOptions(sharesKeys))
    this.#unpackr = new Unpackr(buildOptions(sharesKeys))
  }

  static create ({ sharesKeys = false }: CreateOptions = {}): FrameCodec {
    return new FrameCodec(sharesKeys)
  }

  /** When this throws and keys are shared, the connection must be closed, because the peer may lack keys that later values refer to. */
  encode (value: unknown): Buffer {
    const body = this.#packr.pack(value)
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
    frame.writeUInt32BE(body.length, 0)
    body.copy(frame, LENGTH_BYTES)
    return frame
  }

  /**
   * Adds received bytes and returns the values that they complete.
   * @throws TanagerusherError `protocol-violation` for a malformed or over-long frame; the connection must then be closed.
   */
  decode (bytes: Buffer): unknown[] {
    this.#chunks.push(bytes)
    this.#bufferedBytes += bytes.length
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
    if (this.#bufferedBytes < LENGTH_BYTES) return undefined
    const firstChunk = this.#chunks[0] as Buffer
    const length = firstChunk.length >= LENGTH_BYTES ? firstChunk.readUInt32BE(0) : this.#mergeChunks().readUInt32BE(0)
    if (length > MAX_FRAME_BYTES) {
      throw TanagerusherError.create('protocol-violation', { details: { reason: `frame of ${length} bytes is over the limit of ${MAX_FRAME_BYTES}` } })
    }
    if (this.#bufferedBytes < LENGTH_BYTES + length) return undefined
    const merged = this.#mergeChunks()
    const frameEnd = LENGTH_BYTES + length
    this.#chunks = merged.length > frameEnd ? [merged.subarray(frameEnd)] : []
    this.#bufferedBytes = merged.length - frameEnd
    return merged.subarray(LENGTH_BYTES, frameEnd)
  }

  #mergeChunks (): Buffer {
    if (this.#chunks.length > 1) this.#chunks = [Buffer.concat(this.#chunks, this.#bufferedBytes)]
    return this.#chunks[0] as Buffer
  }
}

/** msgpackr stores the shared keys in the options object, so encoder and decoder must not use the same one. */
function buildOptions (sharesKeys: boolean): Options {
  return sharesKeys
    ? { useRecords: true, sequential: true, mapsAsObjects: true, moreTypes: false }
    : { useRecords: false, moreTypes: false }
}
