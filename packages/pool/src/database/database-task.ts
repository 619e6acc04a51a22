import { setTimeout as wait } from 'node:timers/promises'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { SlotScheduler } from '@tanagerusher/coordination/fairness/slot-scheduler'
import { isFloorSatisfied } from '@tanagerusher/coordination/session/is-floor-satisfied'
import { Idempotency } from '@tanagerusher/coordination/outcome/idempotency'
import { PendingRequests } from '@tanagerusher/coordination/transaction/pending-requests'
import type { ErrorKind } from '@tanagerusher/errors/catalogue/error-kind'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ExecuteParams, ExecuteResult } from '@tanagerusher/protocol/peer/execute'
import type { Database } from '@tanagerusher/state/configuration/database'
import type { Tracing } from '@tanagerusher/runtime/trace/tracing'
import type { Logger } from 'winston'
import type { GroupTask } from '../group/group-task.js'
import { encodeErrorResponse } from '../upstream/encode-error-response.js'
import type { PoolMetrics } from '../process/pool-metrics.js'
import type { ActiveRequest } from './active-request.js'
import { ConnectionPool } from './connection-pool.js'
import { isSamePrimary } from './is-same-primary.js'
import { mayEndTransaction } from './may-end-transaction.js'
import { mayLeaveState } from './may-leave-state.js'
import type { PooledConnection } from './pooled-connection.js'
import { ResultRelay } from './result-relay.js'
import { runIdempotent } from './run-idempotent.js'
import { runStatement } from './run-statement.js'
import type { StatementOutcome } from './statement-outcome.js'

interface CreateOptions {
  database: Database
  group: GroupTask
  applicationName: string
  catchUpWaitMs: number
  clock: Clock
  logger: Logger
  metrics: PoolMetrics
  tracing: Tracing
}

interface ExecuteOptions {
  params: ExecuteParams
  owner: string
  sendChunk: (sequence: number, frames: Buffer<ArrayBuffer>) => void
}

const TICK_MS = 25
const IDLE_POLL_INTERVAL_MS = 5
/** Time after the deadline in which a cancel request may take effect before the connection is destroyed. */
const CANCEL_TIMEOUT_MS = 500
/** Longest wait for the first status of the members after a start. */
const QUORUM_TIMEOUT_MS = 500
/** SQLSTATEs with which an upstream refuses work before executing it: read-only, not accepting connections. */
const REFUSAL_SQL_STATES = new Set(['25006', '57P03'])
const QUERY_CANCELLED_SQL_STATE = '57014'
/** Entries retry work on the primary when a replica refused it for this reason. */
const READ_ONLY_REASON = 'read-only'

/**
 * Owns the connections to one database and runs requests on them. A request waits in the fair queue, takes a slot and a
 * connection, runs, and waits for confirmation by a majority of the group. The slot is released before the confirmation, as soon
 * as the database has completed the work.
 */
export class DatabaseTask {
  readonly #options: CreateOptions
  readonly #scheduler: SlotScheduler
  readonly #connections: ConnectionPool
  readonly #pending = PendingRequests.create()
  readonly #idempotency = Idempotency.create()
  readonly #requests = new Map<string, ActiveRequest>()
  readonly #slotWaiters = new Map<string, (connection: PooledConnection) => void>()
  readonly #pinned = new Map<string, PooledConnection>()
  readonly #timer: NodeJS.Timeout
  #isLeaving: boolean
  #refusalKind: ErrorKind | undefined

  private constructor (options: CreateOptions) {
    const { database, group, clock, logger, applicationName } = options
    this.#options = options
    this.#isLeaving = database.leaving
    this.#scheduler = SlotScheduler.create({ slots: database.slots })
    const { databaseName, user, password } = group.group
    this.#connections = ConnectionPool.create({
      address: { host: database.host, port: database.port, databaseName, user, password },
      applicationName,
      limit: database.connections,
      slots: database.slots,
      clock,
      logger,
      handleIdle: () => { this.#dispatch() },
      handleClosed: (connection) => { this.#handleClosed(connection) },
      handleUnreachable: (reason) => { this.#refuseWaiting(reason) }
    })
    this.#timer = setInterval(() => { this.#tick() }, TICK_MS)
  }

  static create (options: CreateOptions): DatabaseTask {
    return new DatabaseTask(options)
  }

  /** Whether the task can keep running with this configuration. A changed address or limit needs a new task. */
  isCompatible ({ host, port, slots, connections }: Database): boolean {
    const { database } = this.#options
    return database.host === host && database.port === port && database.slots === slots && database.connections === connections
  }

  get name (): string { return this.#options.database.name }
  get groupName (): string { return this.#options.group.name }
  get load (): number { return this.#scheduler.running + this.#scheduler.waiting }
  get requestCount (): number { return this.#requests.size }
  get openTransactions (): number { return this.#pinned.size }
  get connectionCount (): number { return this.#connections.size }
  /** Number of active requests and open transactions; a request inside a transaction counts in addition to it. */
  get workCount (): number { return this.#requests.size + this.#pinned.size }
  get isBusy (): boolean { return this.workCount > 0 }

  /** Opens connections before requests need them. */
  openConnections (): void {
    if (!this.#isLeaving) this.#connections.openMissing()
  }

  /** A leaving database receives no new work. Its connections close after its open transactions have ended. */
  setLeaving (leaving: boolean): void {
    if (leaving === this.#isLeaving) return
    this.#isLeaving = leaving
    if (!leaving) this.#connections.reopen()
  }

  /** Refuses new work with this error from now on. Open transactions continue. */
  refuseNewWork (kind: ErrorKind | undefined): void {
    this.#refusalKind = kind
  }

  /** Queues reads and writes without starting them, for a planned change of primary. */
  pause (): void { this.#scheduler.pause() }

  resume (): void {
    this.#scheduler.resume()
    this.#dispatch()
  }

  async waitUntilIdle (timeoutMs: number): Promise<boolean> {
    const deadline = this.#now() + timeoutMs
    while (this.#scheduler.running > 0 && this.#now() < deadline) await wait(IDLE_POLL_INTERVAL_MS)
    return this.#scheduler.running === 0
  }

  async execute ({ params, owner, sendChunk }: ExecuteOptions): Promise<ExecuteResult> {
    if (!this.#pending.add(params.requestId, params.sessionId, owner)) {
      throw TanagerusherError.create('protocol-violation', { details: { reason: `request ${params.requestId} is under way` } })
    }
    const request: ActiveRequest = { params, owner, sendChunk, deadline: this.#now() + params.deadlineMs, isTimedOut: false, isAbandoned: false }
    this.#requests.set(params.requestId, request)
    const { metrics, tracing } = this.#options
    const span = tracing.startSpan('pool.execute', params.traceparent, { 'db.name': this.name, 'tanagerusher.group': this.groupName })
    if (span !== undefined) request.traceparent = tracing.formatTraceparent(span)
    try {
      const result = params.transaction === 'continue' ? await this.#runInTransaction(request) : await this.#runWithWriteRetry(request)
      metrics.recordOutcome('answered')
      span?.end()
      return result
    } catch (error) {
      tracing.endWithError(span, error as Error)
      metrics.recordOutcome(error instanceof TanagerusherError ? error.kind : 'cancelled')
      if (error instanceof CancelledWhileQueuedError) return buildCancelledResult()
      throw error
    } finally {
      this.#requests.delete(params.requestId)
      this.#pending.take(params.requestId)
    }
  }

  /** Cancels a queued or running request. Repeated calls for one request send one cancel request to the upstream. */
  async cancel (requestId: string): Promise<boolean> {
    const request = this.#requests.get(requestId)
    if (request === undefined) return false
    if (this.#scheduler.remove(requestId)) {
      request.rejectWait?.(new CancelledWhileQueuedError())
      return true
    }
    if (this.#pending.findPhase(requestId) !== 'sent' || request.connection === undefined) return false
    request.cancelling ??= request.connection.cancel(requestId)
    return await request.cancelling
  }

  addCredit (requestId: string, bytes: number): void {
    this.#requests.get(requestId)?.relay?.addCredit(bytes)
  }

  /** Ends a session. Its open transaction is rolled back because its connection is destroyed. */
  release (sessionId: string): void {
    for (const request of this.#requests.values()) if (request.params.sessionId === sessionId) request.isAbandoned = true
    const connection = this.#pinned.get(sessionId)
    if (connection !== undefined) this.#destroy(connection)
  }

  /** Ends all sessions and requests of the peer connection that `owner` identifies. */
  releaseOwner (owner: string): void {
    for (const requestId of this.#pending.listByOwner(owner)) this.#abandonRequest(requestId)
    for (const connection of [...this.#pinned.values()]) if (connection.owner === owner) this.#destroy(connection)
  }

  /** Closes immediately. Running requests and open transactions fail. */
  close (): void {
    clearInterval(this.#timer)
    this.#connections.destroy()
    this.#refuseWaiting('the pool closes')
  }

  /** Runs new work. If the primary refuses a read before execution because it writes, the work runs again there as a write. */
  async #runWithWriteRetry (request: ActiveRequest): Promise<ExecuteResult> {
    try {
      return await this.#runInSlot(request)
    } catch (error) {
      const isRefusedWrite = error instanceof TanagerusherError && error.details.reason === READ_ONLY_REASON && request.params.transaction === 'none'
      if (!isRefusedWrite || this.#options.group.findPrimary()?.database !== this.name) throw error
      request.params = { ...request.params, access: 'write' }
      this.#pending.setPhase(request.params.requestId, 'waiting')
      return await this.#runInSlot(request)
    }
  }

  async #runInSlot (request: ActiveRequest): Promise<ExecuteResult> {
    this.#checkServing()
    const { params } = request
    if (params.access === 'read') await this.#checkFreshness(params)
    else {
      await this.#checkAcceptsWrites()
      if (params.transaction === 'begin') await this.#checkPrimaryIsCurrent(request)
    }
    const requestedAt = this.#now()
    const connection = await this.#acquireConnection(request)
    this.#options.metrics.recordWait(this.#now() - requestedAt)
    return await this.#run(request, connection)
  }

  async #runInTransaction (request: ActiveRequest): Promise<ExecuteResult> {
    const connection = this.#pinned.get(request.params.sessionId)
    if (connection === undefined || !connection.upstream.isOpen) throw TanagerusherError.create('transaction-lost', { details: { reason: 'its connection is gone' } })
    connection.idleDeadline = undefined
    return await this.#run(request, connection)
  }

  #checkServing (): void {
    if (this.#refusalKind !== undefined) throw this.#createError(this.#refusalKind, 'the pool takes no new work')
    // A leaving primary serves until another database is promoted, because no other database accepts its writes.
    if (this.#isLeaving && this.#options.group.findPrimary()?.database !== this.name) throw this.#createError('unavailable', 'the database is leaving')
  }

  /** Checks the replica against the positions that this pool reads, because the status that the entry received may be outdated. */
  async #checkFreshness ({ floor, maximumAgeMs }: ExecuteParams): Promise<void> {
    const { group, catchUpWaitMs } = this.#options
    if (group.isUnresponsive(this.name)) throw this.#createError('unavailable', 'the database is silent')
    const wanted = floor ?? { term: 0, position: 0 }
    if (!await group.waitForPosition(this.name, wanted, catchUpWaitMs)) throw this.#createError('unavailable', 'the database is behind the floor')
    if (floor !== null || maximumAgeMs === undefined) return
    const ageMs = group.findDataAgeMs(this.name)
    if (ageMs === undefined || ageMs > maximumAgeMs) throw this.#createError('unavailable', 'the data is older than the entry accepts')
  }

  /**
   * Checks that the database is the current primary. A partitioned primary may have a successor that it has not observed, and a
   * transaction reads before any of its work is confirmed. A satisfied floor of its own term or a probe that a majority confirmed
   * shows that the database holds the writes that the session made at other databases.
   */
  async #checkPrimaryIsCurrent ({ params, deadline }: ActiveRequest): Promise<void> {
    const { group } = this.#options
    const log = group.readStatus(this.name)?.log
    if (params.floor !== null && log !== undefined && isFloorSatisfied(log, params.floor)) return
    const current = await group.probe(Math.max(1, deadline - this.#now()))
    if (current.term !== (group.readStatus(this.name)?.log.term ?? current.term)) throw this.#createError('unavailable', 'the database is not the current primary')
  }

  /** Rejects with an unknown outcome when the check fails, because the work has already been executed. */
  async #checkPrimaryAfterWork (request: ActiveRequest): Promise<void> {
    try {
      await this.#checkPrimaryIsCurrent(request)
    } catch {
      throw this.#createOutcomeUnknown('no majority confirmed the primary after the work')
    }
  }

  async #checkAcceptsWrites (): Promise<void> {
    const { group } = this.#options
    if (!group.hasQuorum() && !await group.waitForQuorum(QUORUM_TIMEOUT_MS)) throw this.#createError('unavailable', 'no majority of the group answers')
    this.#checkPrimary()
  }

  #checkPrimary (): void {
    const status = this.#options.group.readStatus(this.name)
    if (status === undefined) return
    if (status.role !== 'primary' || status.promisedTerm > status.log.term) throw this.#createError('unavailable', 'the database is not the primary')
  }

  async #acquireConnection (request: ActiveRequest): Promise<PooledConnection> {
    const { requestId, organisation, weight, entry } = request.params
    const now = this.#now()
    const queued = this.#scheduler.enqueue({
      id: requestId, organisation, weight, serviceClass: entry.class, deadline: request.deadline, maximumQueued: entry.maximumQueued
    }, now)
    if (queued.type === 'refused') throw this.#createError('overloaded', queued.reason)
    return await new Promise((resolve, reject) => {
      this.#slotWaiters.set(requestId, resolve)
      request.rejectWait = (error) => {
        this.#slotWaiters.delete(requestId)
        reject(error)
      }
      this.#dispatch()
    })
  }

  #dispatch (): void {
    while (this.#connections.idleCount > 0) {
      const next = this.#scheduler.start(this.#now())
      if (next === undefined) break
      const request = this.#requests.get(next.id)
      const resolve = this.#slotWaiters.get(next.id)
      const connection = this.#connections.take(request?.params.access === 'read')
      this.#slotWaiters.delete(next.id)
      if (connection === undefined || resolve === undefined) this.#scheduler.finish(next.id, this.#now())
      else {
        connection.slotId = next.id
        resolve(connection)
      }
    }
    this.#connections.openMissing()
  }

  async #run (request: ActiveRequest, connection: PooledConnection): Promise<ExecuteResult> {
    const { params } = request
    const { group } = this.#options
    if (params.transaction !== 'continue') this.#checkBeforeSend(request, connection)
    if (!connection.state.start(params.sessionId, params.requestId) || !connection.upstream.isOpen) {
      this.#destroy(connection)
      throw params.transaction === 'continue' ? this.#createTransactionLost() : this.#createError('unavailable', 'the connection was lost before the request was sent')
    }
    const termBefore = group.readStatus(this.name)?.log.term
    const { metrics, tracing } = this.#options
    const sentAt = this.#now()
    const span = request.traceparent === undefined ? undefined : tracing.startSpan('upstream.statement', request.traceparent, { 'db.name': this.name })
    const outcome = await this.#send(request, connection).finally(() => { span?.end() })
    metrics.recordUpstream(this.#now() - sentAt)
    await this.#releaseAfterWork(request, connection, outcome)
    return await this.#buildResult(request, outcome, termBefore)
  }

  /** Checks again what may have changed while the request waited: the role of the database and the connection to the entry. */
  #checkBeforeSend ({ params, isAbandoned }: ActiveRequest, connection: PooledConnection): void {
    try {
      if (isAbandoned) throw this.#createError('unavailable', 'the entry is gone')
      if (params.access === 'write') this.#checkPrimary()
    } catch (error) {
      this.#releaseSlot(connection)
      this.#connections.release(connection)
      throw error
    }
  }

  async #send (request: ActiveRequest, connection: PooledConnection): Promise<StatementOutcome> {
    const { params } = request
    request.connection = connection
    this.#pending.setPhase(params.requestId, 'sent')
    try {
      return params.idempotencyKey !== undefined && params.transaction !== 'continue' && params.access === 'write'
        ? await runIdempotent({ connection, params, idempotency: this.#idempotency, deadline: request.deadline, clock: this.#options.clock })
        : await this.#sendPlain(request, connection)
    } catch (error) {
      // After a refusal because of the idempotency record, the connection is outside of any transaction and can be reused.
      if (error instanceof TanagerusherError) await this.#releaseAfterWork(request, connection, refusedOutcome)
      else this.#destroy(connection)
      throw error instanceof TanagerusherError ? error : this.#createConnectionLossError(request, String((error as Error).message))
    } finally {
      request.relay = undefined
      if (this.#pending.findPhase(params.requestId) === 'sent') this.#pending.setPhase(params.requestId, 'confirming')
    }
  }

  async #sendPlain (request: ActiveRequest, connection: PooledConnection): Promise<StatementOutcome> {
    const { params, sendChunk } = request
    const relay = ResultRelay.create({ upstream: connection.upstream, windowBytes: params.windowBytes, sendChunk })
    request.relay = relay
    const withStatus = params.transaction === 'none' || mayEndTransaction(params)
    const readOnly = params.transaction === 'continue' ? connection.isReadOnly : params.access === 'read'
    return await runStatement({ connection, params, readOnly, relay, withStatus })
  }

  /** Reuses, resets or destroys the connection and releases the slot. An open transaction keeps both. */
  async #releaseAfterWork (request: ActiveRequest, connection: PooledConnection, outcome: StatementOutcome): Promise<void> {
    const { params } = request
    if (request.cancelling !== undefined) await request.cancelling
    if (!connection.upstream.isOpen) connection.state.destroy()
    const action = connection.state.finish({
      requestId: params.requestId, status: outcome.status, mayLeaveState: mayLeaveState(params, outcome)
    })
    if (action === 'keep' && request.isAbandoned) {
      this.#destroy(connection)
      return
    }
    if (action === 'keep') {
      connection.owner = request.owner
      connection.idleDeadline = this.#now() + params.entry.idleTransactionTimeoutMs
      this.#pinned.set(params.sessionId, connection)
      return
    }
    if (this.#pinned.get(params.sessionId) === connection) this.#pinned.delete(params.sessionId)
    connection.owner = undefined
    if (action === 'destroy') {
      this.#destroy(connection)
      return
    }
    const slotId = connection.slotId
    connection.slotId = undefined
    if (action === 'reset') void this.#reset(connection)
    if (slotId !== undefined) this.#scheduler.finish(slotId, this.#now())
    if (action === 'reuse') this.#connections.release(connection)
    else this.#dispatch()
  }

  async #reset (connection: PooledConnection): Promise<void> {
    const succeeded = await connection.reset()
    if (connection.state.finishReset(succeeded) === 'reuse') this.#connections.release(connection)
    else this.#destroy(connection)
  }

  async #buildResult (request: ActiveRequest, outcome: StatementOutcome, termBefore: number | undefined): Promise<ExecuteResult> {
    const { params } = request
    const isRead = params.access === 'read'
    if (outcome.isRejected && outcome.error !== undefined && params.transaction !== 'continue' && REFUSAL_SQL_STATES.has(outcome.error.code)) {
      throw this.#createError('unavailable', outcome.error.code === '25006' && isRead ? READ_ONLY_REASON : outcome.error.text)
    }
    const result = { frames: outcome.frames, transactionStatus: outcome.status, chunks: outcome.chunks }
    if (outcome.status !== 'I') return { ...result, position: null }
    const status = outcome.databaseStatus
    if (status === undefined) {
      if (outcome.error !== undefined && outcome.isRejected) return { ...result, position: null }
      throw isRead ? this.#createError('unavailable', 'the position is not known') : this.#createOutcomeUnknown('the position after the work is not known')
    }
    this.#options.group.observe(status)
    if (isRead) this.#checkReadStatus(params, status.log.term, termBefore, isFloorSatisfied(status.log, params.floor ?? status.log))
    if (outcome.error !== undefined && outcome.isRejected) return { ...result, position: null }
    const isRolledBack = outcome.tags.at(-1) === 'ROLLBACK'
    if (!isRead && !isSamePrimary(status, termBefore)) {
      if (isRolledBack) return { ...result, position: null }
      throw this.#createOutcomeUnknown('the database lost its role during the work')
    }
    // Work that wrote nothing ends at a position that was already committed, and confirming it does not show that the term is current.
    const needsProbe = !isRead && params.transaction === 'none' && params.floor === null && this.#options.group.commits.isCommitted(status.log)
    try {
      const requestedAt = this.#now()
      await this.#options.group.confirm(status.log, request.deadline)
      this.#options.metrics.recordConfirmation(this.#now() - requestedAt)
      if (needsProbe) await this.#checkPrimaryAfterWork(request)
    } catch (error) {
      if (isRolledBack) return { ...result, position: null }
      throw isRead ? this.#createError('unavailable', 'what the read saw was not confirmed by a majority') : error
    }
    return { ...result, position: status.log }
  }

  /** Rejects a read during which the term of the log changed, because the log may have lost entries that the read saw. */
  #checkReadStatus (params: ExecuteParams, term: number, termBefore: number | undefined, satisfiesFloor: boolean): void {
    if (!satisfiesFloor || (params.transaction === 'none' && termBefore !== undefined && term !== termBefore)) {
      throw this.#createError('unavailable', 'the log of the database changed during the read')
    }
  }

  #createConnectionLossError ({ params, isTimedOut }: ActiveRequest, reason: string): TanagerusherError {
    const text = isTimedOut ? 'deadline passed' : reason
    const isRead = params.access === 'read'
    if (params.transaction !== 'none' && (isRead || !mayEndTransaction(params))) return this.#createTransactionLost(text)
    if (isRead) return this.#createError('unavailable', text)
    return this.#createOutcomeUnknown(text)
  }

  #abandonRequest (requestId: string): void {
    const request = this.#requests.get(requestId)
    if (request === undefined) return
    request.isAbandoned = true
    if (this.#scheduler.remove(requestId)) request.rejectWait?.(this.#createError('unavailable', 'the entry is gone'))
    else if (this.#pending.findPhase(requestId) === 'sent') {
      void this.cancel(requestId).finally(() => { if (request.connection !== undefined) this.#destroy(request.connection) })
    }
  }

  #destroy (connection: PooledConnection): void {
    connection.destroy()
    this.#removeConnection(connection)
  }

  #handleClosed (connection: PooledConnection): void {
    connection.state.destroy()
    this.#removeConnection(connection)
  }

  #removeConnection (connection: PooledConnection): void {
    for (const [sessionId, pinned] of this.#pinned) if (pinned === connection) this.#pinned.delete(sessionId)
    this.#releaseSlot(connection)
    this.#dispatch()
  }

  #releaseSlot (connection: PooledConnection): void {
    if (connection.slotId !== undefined) this.#scheduler.finish(connection.slotId, this.#now())
    connection.slotId = undefined
  }

  #refuseWaiting (reason: string): void {
    for (const [requestId, request] of this.#requests) {
      if (this.#scheduler.remove(requestId)) request.rejectWait?.(this.#createError('unavailable', reason))
    }
  }

  #tick (): void {
    const now = this.#now()
    const { group } = this.#options
    for (const { id } of this.#scheduler.expire(now)) {
      this.#requests.get(id)?.rejectWait?.(this.#createError('overloaded', 'deadline passed in the queue'))
    }
    for (const request of this.#requests.values()) if (request.deadline <= now) this.#handleTimeout(request, now)
    this.#endUnservableRequests(this.#isReplaced(), group.isUnresponsive(this.name))
    for (const connection of [...this.#pinned.values()]) {
      if (connection.idleDeadline !== undefined && connection.idleDeadline <= now) this.#destroy(connection)
    }
    if (this.#isLeaving) this.#updateLeavingConnections()
    if (this.#scheduler.waiting > 0) this.#dispatch()
  }

  /** Closes idle connections of a leaving database, or reopens them if it became the primary because the others were lost. */
  #updateLeavingConnections (): void {
    const isPrimary = this.#options.group.findPrimary()?.database === this.name
    if (isPrimary && this.#connections.isClosed) this.#connections.reopen()
    else if (!isPrimary && !this.isBusy) this.#connections.close()
  }

  /** Whether another database is the primary. Uses the status of the group, because a partitioned primary does not report its demotion. */
  #isReplaced (): boolean {
    const primary = this.#options.group.findPrimary()
    return primary !== undefined && primary.database !== this.name
  }

  /**
   * Ends queued and running writes at a database that lost the primary role, and reads at an unresponsive one, so that entries
   * retry at another database immediately. They would otherwise wait until their deadline, because a partitioned database never
   * responds. A write at an unresponsive primary continues until another database is known to be promoted.
   */
  #endUnservableRequests (isReplaced: boolean, isUnresponsive: boolean): void {
    if (!isReplaced && !isUnresponsive) return
    for (const [requestId, request] of this.#requests) {
      const isWrite = request.params.access === 'write'
      if (isWrite ? !isReplaced : !isUnresponsive) continue
      const reason = isWrite ? 'the database is not the primary any more' : 'the database is silent'
      if (this.#scheduler.remove(requestId)) request.rejectWait?.(this.#createError('unavailable', reason))
      else if (this.#pending.findPhase(requestId) === 'sent' && request.connection !== undefined) this.#destroy(request.connection)
    }
  }

  #handleTimeout (request: ActiveRequest, now: number): void {
    const { requestId } = request.params
    if (this.#pending.findPhase(requestId) !== 'sent' || request.connection === undefined) return
    if (!request.isTimedOut) {
      request.isTimedOut = true
      void this.cancel(requestId)
    } else if (now >= request.deadline + CANCEL_TIMEOUT_MS) this.#destroy(request.connection)
  }

  #now (): number {
    return this.#options.clock.readTime()
  }

  #createError (kind: ErrorKind, reason: string): TanagerusherError {
    return TanagerusherError.create(kind, { details: { group: this.groupName, database: this.name, reason } })
  }

  #createOutcomeUnknown (reason: string): TanagerusherError {
    return TanagerusherError.create('outcome-unknown', { details: { reason } })
  }

  #createTransactionLost (reason = 'its connection is gone'): TanagerusherError {
    return TanagerusherError.create('transaction-lost', { details: { reason } })
  }
}

const refusedOutcome: StatementOutcome = {
  frames: Buffer.alloc(0), chunks: 0, status: 'I', tags: [], error: undefined, isRejected: true, hasParameterStatus: false, databaseStatus: undefined
}

class CancelledWhileQueuedError extends Error {}

function buildCancelledResult (): ExecuteResult {
  const frames = encodeErrorResponse({ code: QUERY_CANCELLED_SQL_STATE, text: 'canceling statement due to user request' })
  return { frames, transactionStatus: 'I', position: null, chunks: 0 }
}
