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

/** One request in flight at the entry. */
export class RunningRequest implements ChunkReceiver {
  readonly session: RoutedSession
  readonly batch: Batch
  readonly entry: Entry
  readonly deadline: number
  readonly traceparent: string | undefined
  /** Databases and hosts that failed this request; retries avoid them. */
  readonly excludedDatabases = new Set<string>()
  readonly excludedHosts = new Set<string>()
  progress: RequestProgress = 'waiting'
  requestId = ''
  databaseName = ''
  link: PoolLink | undefined
  /** Time at which a target for a read was first chosen. */
  routedAt: number | undefined
  /** True after a replica rejected the request because it writes. */
  needsPrimary = false
  /** True when the last attempt was sent to a replica, whose sessions are read-only. */
  isAtReplica = false
  #chunks = 0
  #lastSequence: number | undefined
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

  /** True when part of the result was sent to the caller; the request must not be retried then. */
  get hasOutput (): boolean {
    return this.#chunks > 0
  }

  get chunks (): number {
    return this.#chunks
  }

  receiveChunk ({ requestId, sequence, frames }: ExecuteChunkParams, link: PoolLink): void {
    if (this.#isFinished || requestId !== this.requestId) return
    if (this.#lastSequence !== undefined && sequence !== this.#lastSequence + 1) {
      this.#rejectChunks?.(createChunkError())
      return
    }
    this.#lastSequence = sequence
    this.#chunks++
    this.session.writeChunk(frames, () => { if (!this.#isFinished) link.addCredit(requestId, frames.length) })
    if (this.#chunks === this.#expectedChunks) this.#resolveChunks?.()
  }

  /**
   * Waits until `count` chunks are received. Notifications and results are handled in separate turns, so the last chunks
   * may arrive after the result.
   */
  async waitForChunks (count: number): Promise<void> {
    if (this.#chunks === count) return
    if (this.#chunks > count) throw createChunkError()
    this.#expectedChunks = count
    await this.wait(new Promise<void>((resolve, reject) => {
      this.#resolveChunks = resolve
      this.#rejectChunks = reject
    }))
  }

  /** Waits for `promise`. While the request has not been sent, `abort` ends the wait and calls `cancelWait`. */
  async wait<Value> (promise: Promise<Value>, cancelWait: () => void = () => {}): Promise<Value> {
    if (this.#abortError !== undefined) {
      cancelWait()
      // The promise is no longer awaited; an unhandled rejection would end the process.
      promise.catch(() => {})
      throw this.#abortError
    }
    const aborted = new Promise<never>((resolve, reject) => {
      this.#abortWait = (error) => {
        cancelWait()
        reject(error)
      }
    })
    const value = await Promise.race([promise, aborted])
    this.#abortWait = undefined
    return value
  }

  /** @throws TanagerusherError the error passed to `abort`, when the request was aborted */
  checkAborted (): void {
    if (this.#abortError !== undefined) throw this.#abortError
  }

  get isAborted (): boolean {
    return this.#abortError !== undefined
  }

  /** Aborts the request while it waits at the entry. A request that was already sent continues at the pool. */
  abort (error: TanagerusherError): void {
    if (this.#isFinished) return
    this.#abortError ??= error
    if (this.progress === 'waiting') this.#abortWait?.(this.#abortError)
  }

  /** Cancels the request: at the pool when it was already sent, else at the entry. */
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
