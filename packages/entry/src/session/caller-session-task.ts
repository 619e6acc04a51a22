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
import { buildLocalAnswer } from './build-local-answer.js'
import type { CallerIdentity } from './caller-identity.js'
import type { SessionServices } from './session-services.js'

interface CreateOptions {
  socket: Socket
  reader: FrameReader
  identity: CallerIdentity
  entryName: string
  group: string
  /** When the caller's connection began: writes that it completed elsewhere before must be seen. */
  beganAt: number
  processId: number
  secret: number
  floor: SessionFloor
  services: SessionServices
}

type TransactionStatus = 'I' | 'T' | 'E'

const TOKEN_PARAMETER = 'tanagerusher.session'
// Below this size one copy is cheaper than a write of several buffers.
const JOIN_LIMIT_BYTES = 16 * 1024
// Longest time that a request which was sent already may go on after the key was withdrawn.
const WITHDRAWN_GRACE_MS = 5000
const END_TIMEOUT_MS = 5000

/** One caller's session after the log-in. Owns the caller's socket and runs its batches one after another. */
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
  #ending: TanagerusherError | undefined
  #endingAt = 0
  #tokenRevision = -1
  #transactions = 0
  #keyRevision = -1
  #lastActiveAt: number
  #blockedAt: number | undefined
  #pendingTaken: Array<() => void> = []

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

  /** Takes over the socket. `greeting` is sent first, with the session's token and ReadyForQuery after it. */
  start (greeting: Buffer): void {
    this.#socket.on('data', (bytes: Buffer) => { this.#receive(bytes) })
    this.#socket.on('drain', () => { this.#handleDrain() })
    this.#socket.once('close', () => { this.#handleClose() })
    this.#services.registry.add(this)
    this.#services.pools.addSession(this.#group)
    this.#services.metrics.addSession()
    this.#reader.allowLongMessages()
    this.#writeReady([greeting], 'I')
    this.#process()
  }

  /** Cancels the request that runs now, if any. */
  cancel (): void {
    this.#request?.cancel()
  }

  /** Ends the session when its key is no longer in force, also while it is idle, queued or in a transaction. */
  applyConfiguration (): void {
    if (this.#isEnded) return
    this.#followGroup()
    if (this.#ending !== undefined) return
    const error = this.#findKeyError()
    if (error !== undefined) this.#endWith(error)
  }

  /** Ends the session at the next transaction boundary. */
  shutDown (): void {
    if (this.#isEnded || this.#ending !== undefined) return
    this.#ending = TanagerusherError.create('shutting-down')
    this.#endingAt = Number.POSITIVE_INFINITY
    if (!this.#isBusy && this.pin === undefined) this.#end(this.#ending)
  }

  /** Ends the session now; an open transaction is rolled back. */
  terminate (error: TanagerusherError): void {
    this.#endWith(error)
    this.#endingAt = Number.NEGATIVE_INFINITY
  }

  /** Called every second or so, in place of timers of the session's own. */
  checkLimits (now: number): void {
    const { limits } = this.#services.settings
    if (this.#blockedAt !== undefined && now - this.#blockedAt > limits.slowCallerTimeoutMs) this.#destroy()
    else if (this.#ending !== undefined && this.#isBusy && now > this.#endingAt) this.#destroy()
    else if (!this.#isBusy && this.#ending === undefined) this.#checkIdle(now - this.#lastActiveAt)
  }

  writeChunk (frames: Uint8Array, handleTaken: () => void): void {
    if (this.#isEnded) return
    if (this.#socket.write(frames)) {
      handleTaken()
      return
    }
    this.#blockedAt ??= this.#services.clock.readTime()
    this.#pendingTaken.push(handleTaken)
  }

  /** The entry may have been moved to another group. */
  #followGroup (): void {
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
    if (idleMs > limitMs) this.#endWith(TanagerusherError.create('session-idle', { details: { limitMs } }))
  }

  #receive (bytes: Buffer): void {
    if (this.#isEnded) return
    this.#reader.push(bytes)
    this.#process()
    if (this.#isWaiting && !this.#isPaused && this.#reader.bufferedBytes > this.#services.settings.limits.maximumPipelinedBytes) {
      this.#isPaused = true
      this.#socket.pause()
    }
  }

  /** A request runs, or the caller has not taken the last result. */
  get #isWaiting (): boolean {
    return this.#isBusy || this.#blockedAt !== undefined
  }

  /** Runs batches until none is complete. Returns while one is under way. */
  #process (): void {
    while (!this.#isWaiting && !this.#isEnded) {
      const batch = this.#readBatch()
      if (batch === undefined) break
      this.#start(batch)
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
      // The place where the next message starts is not known.
      this.#end(error instanceof TanagerusherError ? error : TanagerusherError.create('internal', { details: { reason: 'message cannot be read' } }))
    }
    return undefined
  }

  #start (batch: Batch): void {
    const now = this.#services.clock.readTime()
    this.#lastActiveAt = now
    this.#isBusy = true
    this.#run(batch, now).catch((error: unknown) => { this.#handleUnexpected(error) })
  }

  async #run (batch: Batch, startedAt: number): Promise<void> {
    const local = batch.error === undefined && this.#ending === undefined ? this.#answerLocally(batch) : undefined
    if (local !== undefined) {
      this.#writeReady([local], this.#status)
    } else {
      await this.#runUpstream(batch, startedAt)
    }
    if (this.#isEnded) this.#abandonTransaction()
    if (this.#status === 'I') this.#builder.closePortals()
    this.#lastActiveAt = this.#services.clock.readTime()
    this.#isBusy = false
    this.#endAtBoundary()
    this.#process()
  }

  async #runUpstream (batch: Batch, startedAt: number): Promise<void> {
    const { metrics, tracing, clock } = this.#services
    const span = tracing.startSpan('entry.request', batch.comment.traceparent, { organisation: this.organisation, entry: this.entryName })
    try {
      const result = await this.#admitAndRoute(batch, startedAt, tracing.chooseTraceparent(span, batch.comment.traceparent))
      this.#status = result.transactionStatus
      metrics.recordAnswer(this.organisation, clock.readTime() - startedAt)
      this.#writeReady([result.frames], this.#status)
      if (findFailed(result, batch)) this.#builder.removeStatements(batch.addedNames)
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

  /** Every request is checked again after each wait: key, freshness of the configuration, then rate. */
  async #admitAndRoute (batch: Batch, startedAt: number, traceparent: string | undefined): Promise<ExecuteResult> {
    if (batch.error !== undefined) throw batch.error
    this.#checkServing()
    if (this.#status === 'E' && this.pin === undefined) throw TanagerusherError.create('transaction-failed')
    const { configuration, rateGate, router } = this.#services
    const entry = configuration.entries.get(this.entryName)
    if (entry === undefined) throw TanagerusherError.create('entry-unknown', { details: { entry: this.entryName } })
    this.#applyToken(batch)
    if (batch.begins && this.pin === undefined) this.transactionId = `${this.#sessionId}-${++this.#transactions}`
    const request = RunningRequest.create({ session: this, batch, entry, deadline: startedAt + entry.statementDeadlineMs, traceparent })
    this.#request = request
    // The end of a transaction was paid for at its start: it is never refused for the rate.
    const cost = batch.ends && this.pin !== undefined ? 0 : Math.max(1, batch.count) + (batch.begins && !batch.ends ? 1 : 0)
    const missing = cost > 0 ? rateGate.take(this.organisation, cost) : 0
    if (missing > 0) {
      await this.#services.tracing.run('entry.rate-wait', traceparent, async () => { await request.wait(rateGate.wait(this.organisation, missing)) })
      this.#checkServing()
    }
    return await router.run(request)
  }

  #checkServing (): void {
    if (this.#ending !== undefined && this.pin === undefined) throw this.#ending
    const error = this.#findKeyError()
    if (error !== undefined) throw error
    const stale = this.#services.findStaleness()
    if (stale !== undefined) throw stale
  }

  #findKeyError (): TanagerusherError | undefined {
    const { keys } = this.#services.configuration
    if (keys.revision === this.#keyRevision) return undefined
    const { organisation, keyName, generation } = this.#identity
    const decision = keys.check({ organisation, keyName, generation, entryName: this.entryName })
    if (decision !== 'allowed') return TanagerusherError.create(decision, { details: { organisation, entry: this.entryName } })
    this.#keyRevision = keys.revision
    return undefined
  }

  /** @throws TanagerusherError `session-token-invalid` */
  #applyToken ({ comment: { session } }: Batch): void {
    if (session === undefined) return
    const checked = this.#services.tokens.check(session, this.organisation)
    if (checked.isErr()) throw checked.error
    for (const [group, floor] of checked.value.floors) this.floor.raise(group, floor)
  }

  /** Answer to a batch that needs no upstream: empty ones, and the end of a transaction that is already over. */
  #answerLocally (batch: Batch): Buffer | undefined {
    if (this.#isEmpty(batch)) return buildLocalAnswer(batch, '')
    if (this.#status !== 'E' || this.pin !== undefined || !batch.ends) return undefined
    this.#status = 'I'
    return buildLocalAnswer(batch, 'ROLLBACK')
  }

  /** Statements are closed at the entry alone; portals exist upstream only within a transaction. */
  #isEmpty ({ type, count, messageTypes }: Batch): boolean {
    if (type === 'simple') return count === 0
    return messageTypes.length === 0 || (this.pin === undefined && messageTypes.every((message) => message === frontendTypes.close))
  }

  #handleFailure (batch: Batch, error: TanagerusherError): void {
    this.#builder.removeStatements(batch.addedNames)
    if (this.pin !== undefined) this.#abandonTransaction()
    // The caller still believes in its transaction: what it has sent already must not run outside of one.
    if (this.#status !== 'I') this.#status = batch.ends ? 'I' : 'E'
    if (error === this.#ending || isFinal(error)) {
      this.#end(error)
      return
    }
    this.#writeReady([backendMessages.encodeError(error, 'ERROR')], this.#status)
  }

  #handleUnexpected (error: unknown): void {
    this.#services.logger.error('session failed', { reason: String(error), stack: (error as Error).stack })
    this.#destroy()
  }

  #abandonTransaction (): void {
    if (this.pin?.link.isOpen === true) this.pin.link.release(this.transactionId)
    this.pin = undefined
  }

  /** One write for result, token and ReadyForQuery. */
  #writeReady (parts: Uint8Array[], status: TransactionStatus): void {
    if (this.#isEnded) return
    if (this.floor.revision !== this.#tokenRevision) {
      this.#tokenRevision = this.floor.revision
      const token = this.#services.tokens.build({ organisation: this.organisation, floors: this.floor.list() })
      parts.push(backendMessages.encodeParameterStatus(TOKEN_PARAMETER, token))
    }
    parts.push(backendMessages.encodeReadyForQuery(status))
    this.#write(parts)
  }

  #write (parts: Uint8Array[]): void {
    let bytes = 0
    for (const part of parts) bytes += part.length
    let isTaken = true
    if (bytes <= JOIN_LIMIT_BYTES) {
      isTaken = this.#socket.write(Buffer.concat(parts, bytes))
    } else {
      this.#socket.cork()
      for (const part of parts) isTaken = this.#socket.write(part)
      this.#socket.uncork()
    }
    if (!isTaken) this.#blockedAt ??= this.#services.clock.readTime()
  }

  #handleDrain (): void {
    this.#blockedAt = undefined
    for (const handleTaken of this.#pendingTaken.splice(0)) handleTaken()
    this.#process()
  }

  /** Ends the session as soon as what was sent upstream is answered. */
  #endWith (error: TanagerusherError): void {
    if (this.#isEnded) return
    this.#ending = error
    this.#endingAt = this.#services.clock.readTime() + WITHDRAWN_GRACE_MS
    if (this.#isBusy) this.#request?.abort(error)
    else this.#end(error)
  }

  #endAtBoundary (): void {
    if (this.#ending === undefined || this.#isEnded) return
    // A shutdown lets transactions finish; a withdrawn key rolls them back.
    if (this.#ending.kind === 'shutting-down' && this.pin !== undefined && this.#endingAt === Number.POSITIVE_INFINITY) return
    this.#end(this.#ending)
  }

  #end (error: TanagerusherError): void {
    if (this.#isEnded) return
    this.#socket.end(backendMessages.encodeError(error, 'FATAL'))
    // A caller that takes no bytes or never closes its side must not keep the socket.
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
    // A result that nobody reads any more must not hold its slot.
    if (this.#request?.hasOutput === true || this.pin !== undefined) this.#request?.cancel()
    this.#request?.abort(TanagerusherError.create('cancelled'))
    this.#abandonTransaction()
    this.#pendingTaken = []
  }
}

/** Errors after which the session cannot go on. */
function isFinal ({ kind }: TanagerusherError): boolean {
  return kind === 'key-withdrawn' || kind === 'access-denied' || kind === 'entry-unknown' || kind === 'configuration-stale'
}

/** A failed batch leaves no statements behind. Only small results can be those of a failed Parse. */
function findFailed ({ frames, chunks }: ExecuteResult, { addedNames }: Batch): boolean {
  return addedNames.length > 0 && chunks === 0 && frames[0] === 0x45
}
