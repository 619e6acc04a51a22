import { serialize } from 'pg-protocol'
import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { backendMessage } from '../upstream/backend-message.js'
import type { Exchange } from '../upstream/exchange.js'
import { readErrorFields } from '../upstream/read-error-fields.js'
import type { ErrorFields } from '../upstream/error-fields.js'
import type { UpstreamConnection } from '../upstream/upstream-connection.js'
import type { RelayedResult } from './relayed-result.js'

interface CreateOptions {
  upstream: UpstreamConnection
  /** Bytes of chunks that may be under way before credit arrives. */
  windowBytes: number
  /** Absent: the whole answer is kept until the end. */
  sendChunk?: (sequence: number, frames: Buffer<ArrayBuffer>) => void
}

const CHUNK_BYTES = 32 * 1024

/**
 * Passes backend messages on as they are; of results only type and length are read, of completions and errors the tag and
 * the SQLSTATE. Large answers leave in chunks, and the upstream is not read while the window is used up.
 */
export class ResultRelay implements Exchange {
  readonly #options: CreateOptions
  readonly result: Promise<RelayedResult>
  #resolve!: (result: RelayedResult) => void
  #reject!: (error: unknown) => void
  #parts: Buffer[] = []
  #bytes = 0
  #chunks = 0
  #outstanding = 0
  readonly #tags: string[] = []
  #error: ErrorFields | undefined
  #isRejected = false
  #hasParameterStatus = false

  private constructor (options: CreateOptions) {
    this.#options = options
    this.result = new Promise((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
    this.result.catch(() => {})
  }

  static create (options: CreateOptions): ResultRelay {
    return new ResultRelay(options)
  }

  get chunks (): number { return this.#chunks }

  handleMessage (type: number, message: Buffer): void {
    switch (type) {
      case backendMessage.parameterStatus:
        this.#hasParameterStatus = true
        return
      case backendMessage.notification: return
      case backendMessage.copyIn:
        this.#options.upstream.write(serialize.copyFail('COPY FROM STDIN is not supported'))
        return
      case backendMessage.copyBoth:
        this.#options.upstream.destroy()
        return
      case backendMessage.commandComplete:
        this.#tags.push(message.toString('latin1', 5, message.length - 1))
        break
      case backendMessage.error:
        this.#isRejected ||= this.#error === undefined && this.#tags.length === 0 && this.#chunks === 0
        this.#error ??= readErrorFields(message)
        break
    }
    this.#parts.push(message)
    this.#bytes += message.length
    if (this.#bytes >= CHUNK_BYTES) this.#sendChunk()
  }

  handleReady (status: TransactionStatus): void {
    this.#options.upstream.resume()
    this.#resolve({
      frames: this.#takeFrames(),
      chunks: this.#chunks,
      status,
      tags: this.#tags,
      error: this.#error,
      isRejected: this.#isRejected,
      hasParameterStatus: this.#hasParameterStatus
    })
  }

  handleClose (reason: string): void {
    this.#reject(new Error(reason))
  }

  /** The receiver has taken `bytes` of the chunks. */
  addCredit (bytes: number): void {
    this.#outstanding = Math.max(0, this.#outstanding - bytes)
    if (this.#outstanding < this.#options.windowBytes) this.#options.upstream.resume()
  }

  #sendChunk (): void {
    if (this.#options.sendChunk === undefined) return
    const frames = this.#takeFrames()
    this.#options.sendChunk(this.#chunks++, frames)
    this.#outstanding += frames.length
    if (this.#outstanding >= this.#options.windowBytes) this.#options.upstream.pause()
  }

  #takeFrames (): Buffer<ArrayBuffer> {
    const parts = this.#parts
    this.#parts = []
    this.#bytes = 0
    return parts.length === 1 ? parts[0] as Buffer<ArrayBuffer> : Buffer.concat(parts)
  }
}
