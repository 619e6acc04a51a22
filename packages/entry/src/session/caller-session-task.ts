import type { Socket } from 'node:net'
import { SessionFloor } from '@tanagerusher/coordination/session/session-floor'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ExecuteResult } from '@tanagerusher/protocol/peer/execute'
import { backendMessages } from '@tanagerusher/protocol/postgres/backend-messages'
import type { FrameReader } from '@tanagerusher/protocol/postgres/frame-reader'
import { frontendTypes } from '@tanagerusher/protocol/postgres/frontend-types'
import { RunningRequest } from '../routing/running-request.js'
import type { Pin } from '../routing/pin.js'
import type { RoutedSession } from '../routing/routed-session.js'
import { BatchBuilder } from './batch-builder.js'
import type { Batch } from './batch.js'
import { buildLocalResponse } from './build-local-response.js'
import type { CallerIdentity } from './caller-identity.js'
import type { SessionServices } from './session-services.js'

interface CreateOptions {
  socket: Socket
  reader: FrameReader
  identity: CallerIdentity
  entryName: string
  group: string
  /** Time at which the caller connected. Reads must see the writes that the caller completed through other hosts before it. */
  beganAt: number
  processId: number
  secret: number
  floor: SessionFloor
  services: SessionServices
}

type TransactionStatus = 'I' | 'T' | 'E'

const TOKEN_PARAMETER = 'tanagerusher.session'
// Up to this size, one copy is cheaper than a write of several buffers.
const COPY_LIMIT_BYTES = 16 * 1024
// Longest time that a request already sent upstream may run after its key was withdrawn.
const WITHDRAWN_KEY_GRACE_MS = 5000
const END_TIMEOUT_MS = 5000

/** Session of one caller after the log-in. Owns the caller's socket and runs its batches sequentially. */
export class CallerSessionTask implements RoutedSession {
  transactionId: string
  readonly organisation: string
  readonly entryName: string
  readonly beganAt: number
  readonly floor: SessionFloor
  readonly processId: number
  readonly secret: number
  pin: Pin | undefined
  readonly #sessionId: string
  readonly #identity: CallerIdentity
  #group: string
  readonly #socket: Socket
  readonly #reader: FrameReader
  readonly #builder: BatchBuilder
  readonly #services: SessionServices
  #status: TransactionStatus = 'I'
  #request: RunningRequest | undefined
  #isBusy = false
  #isPaused = false
  #isEnded = false
  #endError: TanagerusherError | undefined
  #endDeadline = 0
  #sentTokenRevision = -1
  #transactionCount = 0
  #checkedKeyRevision = -1
  #lastActiveAt: number
  #blockedAt: number | undefined
  #drainCallbacks: Array<() => void> = []

  private constructor ({ socket, reader, identity, entryName, group, beganAt, processId, secret, floor, services }: CreateOptions) {
    const { limits } = services.settings
    this.#sessionId = `${services.incarnation}-s${processId}-${beganAt}`
    this.transactionId = this.#sessionId
    this.organisation = identity.organisation
    this.entryName = entryName
    this.beganAt = beganAt
    this.floor = floor
    this.processId = processId
    this.secret = secret
    this.#identity = identity
    this.#group = group
    this.#socket = socket
    this.#reader = reader
    this.#services = services
    this.#builder = BatchBuilder.create({
      maximumStatements: limits.maximumStatements, maximumMessages: limits.maximumBatchMessages, maximumBytes: limits.maximumBatchBytes
    })
    this.#lastActiveAt = services.clock.readTime()
  }

  static create (options: CreateOptions): CallerSessionTask {
    return new CallerSessionTask(options)
  }

  /** Takes over the socket. Sends `startupMessages`, then the session's token and ReadyForQuery. */
  start (startupMessages: Buffer): void {
    this.#socket.on('data', (bytes: Buffer) => { this.#receive(bytes) })
    this.#socket.on('drain', () => { this.#handleDrain() })
    this.#socket.once('close', () => { this.#handleClose() })
    this.#services.registry.add(this)
    this.#services.pools.addSession(this.#group)
    this.#services.metrics.addSession()
    this.#reader.allowLongMessages()
    this.#writeReady([startupMessages], 'I')
    this.#processBatches()
  }

  /** Cancels the running request, if any. */
  cancel (): void {
    this.#request?.cancel()
  }

  /** Ends the session when its key is no longer valid, also while it is idle, queued or in a transaction. */
  applyConfiguration (): void {
    if (this.#isEnded) return
    this.#updateGroup()
    if (this.#endError !== undefined) return
    const error = this.#findKeyError()
    if (error !== undefined) this.#requestEnd(error)
  }

  /** Ends the session at the next transaction boundary. */
  shutDown (): void {
    if (this.#isEnded || this.#endError !== undefined) return
    this.#endError = TanagerusherError.create('shutting-down')
    this.#endDeadline = Number.POSITIVE_INFINITY
    if (!this.#isBusy && this.pin === undefined) this.#end(this.#endError)
  }

  /** Ends the session immediately; an open transaction is rolled back. */
  terminate (error: TanagerusherError): void {
    this.#requestEnd(error)
    this.#endDeadline = Number.NEGATIVE_INFINITY
  }

  /** Checks the time limits. Called at the interval `sweepMs`, which avoids timers in each session. */
  checkLimits (now: number): void {
    const { limits } = this.#services.settings
    if (this.#blockedAt !== undefined && now - this.#blockedAt > limits.slowCallerTimeoutMs) this.#destroy()
    else if (this.#endError !== undefined && this.#isBusy && now > this.#endDeadline) this.#destroy()
    else if (!this.#isBusy && this.#endError === undefined) this.#checkIdle(now - this.#lastActiveAt)
  }

  writeChunk (frames: Uint8Array, handleDrained: () => void): void {
    if (this.#isEnded) return
    if (this.#socket.write(frames)) {
      handleDrained()
      return
    }
    this.#blockedAt ??= this.#services.clock.readTime()
    this.#drainCallbacks.push(handleDrained)
  }

  /** Counts the session in the group that the entry has now: a configuration change may assign another one. */
  #updateGroup (): void {
    const { pools, configuration } = this.#services
    const group = configuration.entries.get(this.entryName)?.group ?? this.#group
    if (group === this.#group) return
    pools.removeSession(this.#group)
    pools.addSession(group)
    this.#group = group
  }

  #checkIdle (idleMs: number): void {
    const entry = this.#services.configuration.entries.get(this.entryName)
    const limitMs = this.pin === undefined || entry === undefined ? this.#services.settings.limits.idleSessionTimeoutMs : entry.idleTransactionTimeoutMs
    if (idleMs > limitMs) this.#requestEnd(TanagerusherError.create('session-idle', { details: { limitMs } }))
  }

  #receive (bytes: Buffer): void {
    if (this.#isEnded) return
    this.#reader.push(bytes)
    this.#processBatches()
    if (this.#isWaiting && !this.#isPaused && this.#reader.bufferedBytes > this.#services.settings.limits.maximumPipelinedBytes) {
      this.#isPaused = true
      this.#socket.pause()
    }
  }

  /** True while a request runs or the socket has not yet accepted the last result. */
  get #isWaiting (): boolean {
    return this.#isBusy || this.#blockedAt !== undefined
  }

  /** Runs complete batches one after another; returns while a batch is in flight. */
  #processBatches (): void {
    while (!this.#isWaiting && !this.#isEnded) {
      const batch = this.#readBatch()
      if (batch === undefined) break
      this.#startBatch(batch)
    }
    if (this.#isPaused && !this.#isWaiting && !this.#isEnded) {
      this.#isPaused = false
      this.#socket.resume()
    }
  }

  #readBatch (): Batch | undefined {
    try {
      for (let frame = this.#reader.read(); frame !== undefined; frame = this.#reader.read()) {
        if (frame.type === frontendTypes.terminate) {
          this.#destroy()
          return undefined
        }
        const batch = this.#builder.add(frame)
        if (batch !== undefined) return batch
      }
    } catch (error) {
      // After an invalid message, the start of the next message is unknown.
      this.#end(error instanceof TanagerusherError ? error : TanagerusherError.create('internal', { details: { reason: 'message cannot be read' } }))
    }
    return undefined
  }

  #startBatch (batch: Batch): void {
    const now = this.#services.clock.readTime()
    this.#lastActiveAt = now
    this.#isBusy = true
    this.#runBatch(batch, now).catch((error: unknown) => { this.#handleUnexpectedError(error) })
  }

  async #runBatch (batch: Batch, startedAt: number): Promise<void> {
    const response = batch.error === undefined && this.#endError === undefined ? this.#buildLocalResponse(batch) : undefined
    if (response !== undefined) {
      this.#writeReady([response], this.#status)
    } else {
      await this.#runUpstream(batch, startedAt)
    }
    if (this.#isEnded) this.#releaseTransaction()
    if (this.#status === 'I') this.#builder.closePortals()
    this.#lastActiveAt = this.#services.clock.readTime()
    this.#isBusy = false
    this.#endIfRequested()
    this.#processBatches()
  }

  async #runUpstream (batch: Batch, startedAt: number): Promise<void> {
    const { metrics, tracing, clock } = this.#services
    const span = tracing.startSpan('entry.request', batch.comment.traceparent, { organisation: this.organisation, entry: this.entryName })
    try {
      const result = await this.#admitAndRoute(batch, startedAt, tracing.chooseTraceparent(span, batch.comment.traceparent))
      this.#status = result.transactionStatus
      metrics.recordResponse(this.organisation, clock.readTime() - startedAt)
      this.#writeReady([result.frames], this.#status)
      if (isFailedParse(result, batch)) this.#builder.removeStatements(batch.addedNames)
      span?.end()
    } catch (failure) {
      const error = failure instanceof TanagerusherError ? failure : TanagerusherError.create('internal', { details: { reason: 'unexpected failure' } })
      if (error.kind === 'internal') this.#services.logger.error('request failed', { reason: String(failure), stack: (failure as Error).stack })
      metrics.recordFailure(error.kind)
      tracing.endWithError(span, error)
      this.#handleFailure(batch, error)
    } finally {
      this.#request?.finish()
      this.#request = undefined
    }
  }

  /** Checks the key and the freshness of the configuration before and after the wait for tokens, then routes the request. */
  async #admitAndRoute (batch: Batch, startedAt: number, traceparent: string | undefined): Promise<ExecuteResult> {
    if (batch.error !== undefined) throw batch.error
    this.#checkServing()
    if (this.#status === 'E' && this.pin === undefined) throw TanagerusherError.create('transaction-failed')
    const { configuration, rateLimiter, router } = this.#services
    const entry = configuration.entries.get(this.entryName)
    if (entry === undefined) throw TanagerusherError.create('entry-unknown', { details: { entry: this.entryName } })
    this.#applyToken(batch)
    if (batch.begins && this.pin === undefined) this.transactionId = `${this.#sessionId}-${++this.#transactionCount}`
    const request = RunningRequest.create({ session: this, batch, entry, deadline: startedAt + entry.statementDeadlineMs, traceparent })
    this.#request = request
    // The tokens for the end of a transaction are taken at its start, so the end is never rejected by the rate limiter.
    const cost = batch.ends && this.pin !== undefined ? 0 : Math.max(1, batch.count) + (batch.begins && !batch.ends ? 1 : 0)
    const missing = cost > 0 ? rateLimiter.take(this.organisation, cost) : 0
    if (missing > 0) {
      await this.#services.tracing.run('entry.rate-wait', traceparent, async () => { await request.wait(rateLimiter.wait(this.organisation, missing)) })
      this.#checkServing()
    }
    return await router.run(request)
  }

  #checkServing (): void {
    if (this.#endError !== undefined && this.pin === undefined) throw this.#endError
    const error = this.#findKeyError()
    if (error !== undefined) throw error
    const stale = this.#services.findStalenessError()
    if (stale !== undefined) throw stale
  }

  #findKeyError (): TanagerusherError | undefined {
    const { keys } = this.#services.configuration
    if (keys.revision === this.#checkedKeyRevision) return undefined
    const { organisation, keyName, generation } = this.#identity
    const decision = keys.check({ organisation, keyName, generation, entryName: this.entryName })
    if (decision !== 'allowed') return TanagerusherError.create(decision, { details: { organisation, entry: this.entryName } })
    this.#checkedKeyRevision = keys.revision
    return undefined
  }

  /** @throws TanagerusherError `session-token-invalid` */
  #applyToken ({ comment: { session } }: Batch): void {
    if (session === undefined) return
    const checked = this.#services.tokens.check(session, this.organisation)
    if (checked.isErr()) throw checked.error
    for (const [group, floor] of checked.value.floors) this.floor.raise(group, floor)
  }

  /** Builds the response to a batch that needs no upstream: an empty batch, or the end of a transaction that was already rolled back. */
  #buildLocalResponse (batch: Batch): Buffer | undefined {
    if (this.#isEmpty(batch)) return buildLocalResponse(batch, '')
    if (this.#status !== 'E' || this.pin !== undefined || !batch.ends) return undefined
    this.#status = 'I'
    return buildLocalResponse(batch, 'ROLLBACK')
  }

  /**
   * Close messages need no upstream outside of a transaction: statements are closed at the entry, and portals exist
   * upstream only in a transaction.
   */
  #isEmpty ({ type, count, messageTypes }: Batch): boolean {
    if (type === 'simple') return count === 0
    return messageTypes.length === 0 || (this.pin === undefined && messageTypes.every((message) => message === frontendTypes.close))
  }

  #handleFailure (batch: Batch, error: TanagerusherError): void {
    this.#builder.removeStatements(batch.addedNames)
    if (this.pin !== undefined) this.#releaseTransaction()
    // The caller may have pipelined more statements of the lost transaction; they must not run outside of one.
    if (this.#status !== 'I') this.#status = batch.ends ? 'I' : 'E'
    if (error === this.#endError || isSessionFatal(error)) {
      this.#end(error)
      return
    }
    this.#writeReady([backendMessages.encodeError(error, 'ERROR')], this.#status)
  }

  #handleUnexpectedError (error: unknown): void {
    this.#services.logger.error('session failed', { reason: String(error), stack: (error as Error).stack })
    this.#destroy()
  }

  #releaseTransaction (): void {
    if (this.pin?.link.isOpen === true) this.pin.link.release(this.transactionId)
    this.pin = undefined
  }

  /** Writes the result, the session token (when the floor has changed) and ReadyForQuery together. */
  #writeReady (parts: Uint8Array[], status: TransactionStatus): void {
    if (this.#isEnded) return
    if (this.floor.revision !== this.#sentTokenRevision) {
      this.#sentTokenRevision = this.floor.revision
      const token = this.#services.tokens.build({ organisation: this.organisation, floors: this.floor.list() })
      parts.push(backendMessages.encodeParameterStatus(TOKEN_PARAMETER, token))
    }
    parts.push(backendMessages.encodeReadyForQuery(status))
    this.#write(parts)
  }

  #write (parts: Uint8Array[]): void {
    let bytes = 0
    for (const part of parts) bytes += part.length
    let isBelowHighWaterMark = true
    if (bytes <= COPY_LIMIT_BYTES) {
      isBelowHighWaterMark = this.#socket.write(Buffer.concat(parts, bytes))
    } else {
      this.#socket.cork()
      for (const part of parts) isBelowHighWaterMark = this.#socket.write(part)
      this.#socket.uncork()
    }
    if (!isBelowHighWaterMark) this.#blockedAt ??= this.#services.clock.readTime()
  }

  #handleDrain (): void {
    this.#blockedAt = undefined
    for (const handleDrained of this.#drainCallbacks.splice(0)) handleDrained()
    this.#processBatches()
  }

  /** Ends the session as soon as the request in flight, if any, has a response. */
  #requestEnd (error: TanagerusherError): void {
    if (this.#isEnded) return
    this.#endError = error
    this.#endDeadline = this.#services.clock.readTime() + WITHDRAWN_KEY_GRACE_MS
    if (this.#isBusy) this.#request?.abort(error)
    else this.#end(error)
  }

  #endIfRequested (): void {
    if (this.#endError === undefined || this.#isEnded) return
    // A shutdown lets open transactions finish; a withdrawn key rolls them back.
    if (this.#endError.kind === 'shutting-down' && this.pin !== undefined && this.#endDeadline === Number.POSITIVE_INFINITY) return
    this.#end(this.#endError)
  }

  #end (error: TanagerusherError): void {
    if (this.#isEnded) return
    this.#socket.end(backendMessages.encodeError(error, 'FATAL'))
    // Destroys the socket of a caller that reads nothing or never closes its side.
    setTimeout(() => { this.#socket.destroy() }, END_TIMEOUT_MS).unref()
    this.#close()
  }

  #destroy (): void {
    this.#close()
    this.#socket.destroy()
  }

  #handleClose (): void {
    this.#close()
  }

  #close (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const { registry, pools, metrics } = this.#services
    registry.remove(this)
    pools.removeSession(this.#group)
    metrics.removeSession()
    // Cancels a result that is no longer read, so that it does not occupy a pool slot.
    if (this.#request?.hasOutput === true || this.pin !== undefined) this.#request?.cancel()
    this.#request?.abort(TanagerusherError.create('cancelled'))
    this.#releaseTransaction()
    this.#drainCallbacks = []
  }
}

/** Checks whether the session must end after this error. */
function isSessionFatal ({ kind }: TanagerusherError): boolean {
  return kind === 'key-withdrawn' || kind === 'access-denied' || kind === 'entry-unknown' || kind === 'configuration-stale'
}

/**
 * Checks whether a batch that adds statements has failed; its statements must be removed then. Only a small result, which is
 * not sent in chunks, can be that of a failed Parse.
 */
function isFailedParse ({ frames, chunks }: ExecuteResult, { addedNames }: Batch): boolean {
  return addedNames.length > 0 && chunks === 0 && frames[0] === 0x45
}
