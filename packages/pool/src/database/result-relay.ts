import { serialize } from 'pg-protocol'
import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import { backendMessageTypes } from '../upstream/backend-message-types.js'
import type { ResponseHandler } from '../upstream/response-handler.js'
import { readErrorFields } from '../upstream/read-error-fields.js'
import type { ErrorFields } from '../upstream/error-fields.js'
import type { UpstreamConnection } from '../upstream/upstream-connection.js'
import type { RelayedResult } from './relayed-result.js'

interface CreateOptions {
  upstream: UpstreamConnection
  /** Flow control window: maximum number of bytes of chunks that are sent without credit from the receiver. */
  windowBytes: number
  /** If absent, the whole response is buffered until its end. */
  sendChunk?: (sequence: number, frames: Buffer<ArrayBuffer>) => void
}

const CHUNK_BYTES = 32 * 1024

/**
 * Relays backend messages unchanged. Only the type and length of a message are read, and in addition the tag of a command
 * completion and the fields of an error. Large responses are sent in chunks, and the upstream is not read while the flow control
 * window is exhausted.
 */
export class ResultRelay implements ResponseHandler {
  readonly #options: CreateOptions
  readonly result: Promise<RelayedResult>
  #resolve!: (result: RelayedResult) => void
  #reject!: (error: unknown) => void
  #pendingMessages: Buffer[] = []
  #pendingBytes = 0
  #sentChunks = 0
  #unacknowledgedBytes = 0
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

  get chunks (): number { return this.#sentChunks }

  handleMessage (type: number, message: Buffer): void {
    switch (type) {
      case backendMessageTypes.parameterStatus:
        this.#hasParameterStatus = true
        return
      case backendMessageTypes.notification: return
      case backendMessageTypes.copyIn:
        this.#options.upstream.write(serialize.copyFail('COPY FROM STDIN is not supported'))
        return
      case backendMessageTypes.copyBoth:
        this.#options.upstream.destroy()
        return
      case backendMessageTypes.commandComplete:
        this.#tags.push(message.toString('latin1', 5, message.length - 1))
        break
      case backendMessageTypes.error:
        this.#isRejected ||= this.#error === undefined && this.#tags.length === 0 && this.#sentChunks === 0
        this.#error ??= readErrorFields(message)
        break
    }
    this.#pendingMessages.push(message)
    this.#pendingBytes += message.length
    if (this.#pendingBytes >= CHUNK_BYTES) this.#sendChunk()
  }

  handleReady (status: TransactionStatus): void {
    this.#options.upstream.resume()
    this.#resolve({
      frames: this.#takeFrames(),
      chunks: this.#sentChunks,
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

  /** Records that the receiver has processed `bytes` of the chunks. */
  addCredit (bytes: number): void {
    this.#unacknowledgedBytes = Math.max(0, this.#unacknowledgedBytes - bytes)
    if (this.#unacknowledgedBytes < this.#options.windowBytes) this.#options.upstream.resume()
  }

  #sendChunk (): void {
    if (this.#options.sendChunk === undefined) return
    const frames = this.#takeFrames()
    this.#options.sendChunk(this.#sentChunks++, frames)
    this.#unacknowledgedBytes += frames.length
    if (this.#unacknowledgedBytes >= this.#options.windowBytes) this.#options.upstream.pause()
  }

  #takeFrames (): Buffer<ArrayBuffer> {
    const parts = this.#pendingMessages
    this.#pendingMessages = []
    this.#pendingBytes = 0
    return parts.length === 1 ? parts[0] as Buffer<ArrayBuffer> : Buffer.concat(parts)
  }
}
