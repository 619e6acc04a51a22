import type { RequestProgress } from '@tanagerusher/coordination/outcome/outcome-classifier'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ExecuteChunkParams } from '@tanagerusher/protocol/peer/execute-chunk'
import type { Entry } from '@tanagerusher/state/configuration/entry'
import type { Batch } from '../session/batch.js'
import type { PoolLink } from './pool-link.js'
import type { ChunkReceiver } from './chunk-receiver.js'
import type { RoutedSession } from './routed-session.js'

interface CreateOptions {
  session: RoutedSession
  batch: Batch
  entry: Entry
  deadline: number
  traceparent: string | undefined
}

/** One request on its way through the entry. */
export class RunningRequest implements ChunkReceiver {
  readonly session: RoutedSession
  readonly batch: Batch
  readonly entry: Entry
  readonly deadline: number
  readonly traceparent: string | undefined
  /** Databases and hosts that failed it. */
  readonly excludedDatabases = new Set<string>()
  readonly excludedHosts = new Set<string>()
  progress: RequestProgress = 'waiting'
  requestId = ''
  databaseName = ''
  link: PoolLink | undefined
  /** When it was first sent on its way to a replica. */
  routedAt: number | undefined
  /** Set when a replica refused the work because it writes. */
  needsPrimary = false
  /** The last try went to a database whose sessions are read-only. */
  isAtReplica = false
  #chunks = 0
  #sequence: number | undefined
  #expectedChunks: number | undefined
  #resolveChunks: (() => void) | undefined
  #rejectChunks: ((error: unknown) => void) | undefined
  #abortError: TanagerusherError | undefined
  #abortWait: ((error: TanagerusherError) => void) | undefined
  #isFinished = false

  private constructor ({ session, batch, entry, deadline, traceparent }: CreateOptions) {
    this.session = session
    this.batch = batch
    this.entry = entry
    this.deadline = deadline
    this.traceparent = traceparent
  }

  static create (options: CreateOptions): RunningRequest {
    return new RunningRequest(options)
  }

  /** Part of the result has gone to the caller; the request must not be sent again. */
  get hasOutput (): boolean {
    return this.#chunks > 0
  }

  get chunks (): number {
    return this.#chunks
  }

  receiveChunk ({ requestId, sequence, frames }: ExecuteChunkParams, link: PoolLink): void {
    if (this.#isFinished || requestId !== this.requestId) return
    if (this.#sequence !== undefined && sequence !== this.#sequence + 1) {
      this.#rejectChunks?.(createChunkError())
      return
    }
    this.#sequence = sequence
    this.#chunks++
    this.session.writeChunk(frames, () => { if (!this.#isFinished) link.addCredit(requestId, frames.length) })
    if (this.#chunks === this.#expectedChunks) this.#resolveChunks?.()
  }

  /** Notifications and results are handled in separate turns, so the last chunks may come after the result. */
  async waitForChunks (count: number): Promise<void> {
    if (this.#chunks === count) return
    if (this.#chunks > count) throw createChunkError()
    this.#expectedChunks = count
    await this.wait(new Promise<void>((resolve, reject) => {
      this.#resolveChunks = resolve
      this.#rejectChunks = reject
    }))
  }

  /** Waits for something of the entry's own. `abort` ends the wait and calls `leave`. */
  async wait<Value> (promise: Promise<Value>, leave: () => void = () => {}): Promise<Value> {
    if (this.#abortError !== undefined) {
      leave()
      // Nobody waits for it any more, and its failure must not end the process.
      promise.catch(() => {})
      throw this.#abortError
    }
    const aborted = new Promise<never>((resolve, reject) => {
      this.#abortWait = (error) => {
        leave()
        reject(error)
      }
    })
    const value = await Promise.race([promise, aborted])
    this.#abortWait = undefined
    return value
  }

  /** @throws TanagerusherError the reason with which the request was aborted */
  checkAborted (): void {
    if (this.#abortError !== undefined) throw this.#abortError
  }

  get isAborted (): boolean {
    return this.#abortError !== undefined
  }

  /** Ends the request where it waits at the entry. What was sent already is left to the pool. */
  abort (error: TanagerusherError): void {
    if (this.#isFinished) return
    this.#abortError ??= error
    if (this.progress === 'waiting') this.#abortWait?.(this.#abortError)
  }

  /** Cancels the request wherever it is. */
  cancel (): void {
    if (this.#isFinished) return
    if (this.progress === 'sent') this.link?.cancel(this.requestId).catch(() => {})
    else this.abort(TanagerusherError.create('cancelled'))
  }

  finish (): void {
    this.#isFinished = true
  }
}

function createChunkError (): TanagerusherError {
  return TanagerusherError.create('outcome-unknown', { details: { reason: 'parts of the result are missing' } })
}
