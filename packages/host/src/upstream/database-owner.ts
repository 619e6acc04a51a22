import type { OwnerEvents } from './owner-events.js'
import type { PauseDetector } from '@tanagerusher/coordination/clock/pause-detector'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamConnector } from '@tanagerusher/coordination/common/upstream-connector'
import type { PrimaryLeases } from '@tanagerusher/coordination/failover/primary-leases'
import { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import type { UpstreamExecuteParams, UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import { CapacityRecorder } from './capacity-recorder.js'
import { ConnectionPool } from './connection-pool.js'
import { DatabaseControl } from './database-control.js'
import type { PooledConnection } from './pooled-connection.js'
import { isJoining } from './is-joining.js'
import { isOpening } from './is-opening.js'
import { isWrite } from './is-write.js'
import type { PinnedTransaction } from './pinned-transaction.js'
import { PinnedTransactions } from './pinned-transactions.js'
import { PrimaryGuard } from './primary-guard.js'
import { releaseTransaction } from './release-transaction.js'
import { SlotLimiter } from './slot-limiter.js'
import { StatementSender } from './statement-sender.js'
import { WritePause } from './write-pause.js'

interface CreateOptions {
  record: UpstreamRecord
  connector: UpstreamConnector
  clock: Clock
  logger: Logger
  events: OwnerEvents
  leases: PrimaryLeases
  checkClocks: () => void
  /** Whether the catalogue in force here still permits an operation, which may have waited, to run at the database. */
  isPermitted: (record: UpstreamRecord, params: UpstreamExecuteParams) => boolean
  pauses: PauseDetector | undefined
}

type RecordResponse = (answer: StatementResponse, sentAt: number) => void

type Operation<Type> = Extract<UpstreamExecuteParams['operation'], { type: Type }>

/** Little more than the set-up time of a connection, since a request holds its slot while it waits for one. */
const CONNECTION_WAIT_MS = 300

/** Runs the work for one database on this host: slots, connections, pinned transactions, and its health and leadership. */
export class DatabaseOwner {
  #record: UpstreamRecord
  readonly #clock: Clock
  readonly #events: OwnerEvents
  readonly #isPermitted: CreateOptions['isPermitted']
  readonly #capacity: CapacityRecorder
  readonly #pool: ConnectionPool
  readonly #slots: SlotLimiter
  readonly #primary: PrimaryGuard
  readonly #control: DatabaseControl
  readonly #sender: StatementSender
  readonly #health = UpstreamHealth.create()
  readonly #transactions = PinnedTransactions.create()
  readonly #writePause = WritePause.create()
  #usedAt: number

  private constructor ({ record, connector, clock, logger, events, leases, checkClocks, isPermitted, pauses }: CreateOptions) {
    this.#record = record
    this.#clock = clock
    this.#events = events
    this.#isPermitted = isPermitted
    this.#pool = ConnectionPool.create({ record, connector, clock, logger, handleConnectionAvailable: () => { this.#slots.startWaiting() } })
    this.#slots = SlotLimiter.create({ slots: record.slots, clock, hasConnection: (organisation) => this.#pool.hasCapacity(organisation), findWarmupRate: () => events.findWarmupRate(this.#record) })
    this.#capacity = CapacityRecorder.create({ record, slots: this.#slots, pauses, clock, logger })
    this.#primary = PrimaryGuard.create({ leases, group: record.group, databaseId: record.id, clock, checkClocks })
    this.#control = DatabaseControl.create({ record, pool: this.#pool, primary: this.#primary, health: this.#health, clock, logger, events })
    this.#sender = StatementSender.create({ databaseId: record.id, primary: this.#primary, isClosed: () => this.#isClosed, logger })
    this.#usedAt = clock.readTime()
  }

  static create (options: CreateOptions): DatabaseOwner {
    return new DatabaseOwner(options)
  }

  get record (): UpstreamRecord { return this.#record }
  get usedAt (): number { return this.#usedAt }
  get health (): UpstreamHealth { return this.#health }
  get openTransactions (): number { return this.#transactions.size }
  get load (): { running: number, waiting: number, connections: number } { return { ...this.#slots.load, connections: this.#pool.size } }

  get learnedConcurrency (): number { return this.#slots.learned.concurrency }

  estimateWaitMs (): number { return this.#slots.estimateWaitMs() }
  estimateService (priority: number): { serviceMs: number | undefined, serviceWeight: number } { return { serviceMs: this.#slots.findReadServiceMs(priority), serviceWeight: 1 } }
  updateRecord (record: UpstreamRecord): void { this.#record = record }
  updateLimit (limit: number): void { this.#pool.updateLimit(limit) }

  /** Delays single writes and commits during a planned change of primary. */
  pauseWrites (): void { this.#writePause.begin() }
  resumeWrites (): void { this.#writePause.end() }

  async execute (params: UpstreamExecuteParams): Promise<UpstreamExecuteResult> {
    const result = await this.#dispatch(params)
    result.serviceMs = this.#slots.findReadServiceMs(params.priority)
    return result
  }

  async #dispatch (params: UpstreamExecuteParams): Promise<UpstreamExecuteResult> {
    this.#usedAt = this.#clock.readTime()
    this.#control.organisation = params.organisation
    const { operation } = params
    if (operation.type === 'rollback') return this.#rollback(params.session)
    if (this.#isClosed) return this.#refuseClosed(params)
    const deadline = this.#usedAt + params.timeLeftMs
    if (this.#needsPrimary(params)) {
      const check = await this.#primary.wait(isJoining(operation), params.timeLeftMs)
      if (check.type === 'refused') return this.#refuseWithoutLease(params, check.reason)
    }
    if (isWrite(operation)) await this.#writePause.wait(deadline - this.#clock.readTime())
    const timeLeftMs = deadline - this.#clock.readTime()
    if (timeLeftMs <= 0) return this.#refuse('busy', 'the primary hands over')
    if (operation.type === 'begin') return await this.#begin({ ...params, timeLeftMs }, operation)
    if (operation.type === 'commit') return await this.#commit({ ...params, timeLeftMs }, operation)
    if (operation.transaction === 'none') return await this.#runSingle({ ...params, timeLeftMs }, operation)
    return operation.transaction === 'joins' ? await this.#runInTransaction({ ...params, timeLeftMs }, operation) : await this.#runFirst({ ...params, timeLeftMs }, operation, deadline)
  }

  /** Waits until no work on the primary is in flight and no transaction is open on it, for at most `timeLeftMs`. */
  async quiesce (timeLeftMs: number): Promise<void> { await this.#primary.quiesce(() => !this.#transactions.isAnyOnPrimary(), timeLeftMs) }

  /** Aborts the transactions of the sessions that `isSelected` accepts. Returns their number. */
  abortTransactions (isSelected: (session: string) => boolean): number {
    const selected = this.#transactions.take(isSelected)
    for (const { pooled } of selected) this.#pool.discard(pooled)
    return selected.length
  }

  abortOrphanedTransactions (): void {
    const now = this.#clock.readTime()
    this.abortTransactions((session) => this.#transactions.isOrphaned(session, now))
  }

  /** Checks whether the database is the primary, without taking a slot. Returns true when it responded at all. */
  async probe (): Promise<boolean> {
    // The probe begins a transaction, which a closed database must not receive.
    if (this.#isClosed) return (await this.#control.run({ type: 'status' })).type !== 'lost'
    return await this.#control.probe()
  }

  /** Runs one of the proxy's own commands on a connection that no request uses. */
  async runControl (command: UpstreamCommand): Promise<StatementResponse> { return await this.#control.run(command) }

  /** Refuses the work that waits for a slot or a connection. */
  stopWaiting (): void {
    this.#slots.stopWaiting('the owner of the connections stops')
    this.#pool.stopWaiting()
  }

  close (): void {
    this.#slots.close()
    this.#pool.close()
    this.abortTransactions(() => true)
  }

  async #runSingle (params: UpstreamExecuteParams, operation: Operation<'run'>): Promise<UpstreamExecuteResult> {
    const { organisation, priority, timeLeftMs, values, needed, replicaRead } = params
    const deadline = this.#clock.readTime() + timeLeftMs
    if (!this.#health.takeTrial(this.#clock.readTime())) return this.#refuse('busy', 'the database does not answer')
    if (replicaRead !== undefined) await this.#events.waitForReadPosition(this.#record, replicaRead.maxStalenessMs)
    const slot = await this.#slots.wait({ organisation, priority, timeLeftMs: deadline - this.#clock.readTime(), isPinned: false })
    if (slot.type === 'refused') return this.#refuse('busy', this.#describeLoad(slot.reason))
    try {
      if (!this.#isPermitted(this.#record, params)) return this.#refuseUnpermitted()
      const after = replicaRead === undefined ? undefined : this.#events.findReadPosition(this.#record, replicaRead.maxStalenessMs, replicaRead.floor)
      if (replicaRead !== undefined && after === undefined) return this.#refuse('busy', 'no position of the primary inside the bound is known')
      const acquisition = await this.#pool.acquire({ organisation, values, needed, timeoutMs: Math.min(CONNECTION_WAIT_MS, deadline - this.#clock.readTime()) })
      if (acquisition.type !== 'acquired') return this.#refuseAcquisition(acquisition)
      const { pooled } = acquisition
      const run: UpstreamCommand = { type: 'run', id: operation.id, text: operation.text, after }
      const record = (answer: StatementResponse, sentAt: number): void => { this.#capacity.recordResponse(slot.id, params, answer, sentAt) }
      if (operation.access === 'read' && after === undefined) return await this.#runPrimaryRead(pooled, params, run, deadline, record)
      return await this.#finishSingle(pooled, params, run, deadline, record)
    } finally {
      this.#slots.release(slot.id)
    }
  }

  /** Reads inside a transaction, because a plain read also succeeds on a database that is no longer the primary. */
  async #runPrimaryRead (pooled: PooledConnection, params: UpstreamExecuteParams, run: UpstreamCommand, deadline: number, record: RecordResponse): Promise<UpstreamExecuteResult> {
    const refused = await this.#openTransaction(pooled, params, { type: 'begin', isReadOnly: false, after: undefined }, deadline)
    if (refused !== undefined) return refused
    const check = this.#primary.check(true)
    if (check.type === 'refused') return this.#refuseUnsent(pooled, check.reason)
    if (this.#isClosed) return this.#refuseUnsent(pooled, 'closed')
    const sentAt = this.#clock.readTime()
    const [read, rollback] = pooled.connection.send([run, { type: 'rollback' }], this.#computeTimeout(deadline)) as [Promise<StatementResponse>, Promise<StatementResponse>]
    const [answer] = await this.#primary.track([read]) as [StatementResponse]
    record(answer, sentAt)
    this.#control.recordHealth(answer)
    void rollback.then(() => { this.#pool.release(pooled) })
    return this.#buildResult(this.#sender.handleMissingStatement(pooled, answer, params), true)
  }

  async #finishSingle (pooled: PooledConnection, params: UpstreamExecuteParams, run: UpstreamCommand, deadline: number, record: RecordResponse): Promise<UpstreamExecuteResult> {
    const isOnPrimary = params.replicaRead === undefined
    const failure = await this.#sender.applySetup(pooled, params, this.#computeTimeout(deadline))
    if (failure !== undefined) {
      this.#control.recordHealth(failure)
      this.#pool.release(pooled)
      return this.#buildResult(failure, false)
    }
    const sentAt = this.#clock.readTime()
    const sent = await this.#sender.send(pooled, [run], this.#computeTimeout(deadline), { needsPrimary: isOnPrimary, isJoining: false })
    if (sent === undefined) return this.#refuseUnsent(pooled, 'changing')
    const [response] = sent.answers as [StatementResponse]
    record(response, sentAt)
    const answer = this.#sender.handleMissingStatement(pooled, response, params)
    this.#control.recordHealth(answer)
    if (isOnPrimary) this.#control.recordLeadership(answer, sentAt)
    this.#pool.release(pooled)
    return this.#buildResult(isOnPrimary ? await this.#primary.decideCommit(answer, sent.revision, deadline - this.#clock.readTime()) : answer, true)
  }

  /**
   * Opens a transaction and runs its first statement. The connection is acquired only now, so that none is held while a caller
   * pauses after BEGIN.
   */
  async #runFirst (params: UpstreamExecuteParams, operation: Operation<'run'>, deadline: number): Promise<UpstreamExecuteResult> {
    const begun = await this.#begin(params, operation)
    if (begun.answer.type !== 'done') return begun
    return await this.#runInTransaction({ ...params, timeLeftMs: Math.max(1, deadline - this.#clock.readTime()) }, operation)
  }

  async #begin (params: UpstreamExecuteParams, operation: Pick<Operation<'begin'>, 'isReadOnly'>): Promise<UpstreamExecuteResult> {
    const { session, organisation, values, needed, replicaRead, timeLeftMs } = params
    const deadline = this.#clock.readTime() + timeLeftMs
    if (!this.#health.takeTrial(this.#clock.readTime())) return this.#refuse('busy', 'the database does not answer')
    if (replicaRead !== undefined) await this.#events.waitForReadPosition(this.#record, replicaRead.maxStalenessMs)
    if (this.#slots.estimateWarmupWaitMs() > timeLeftMs) return this.#refuse('busy', 'the database is cold and its requests per second are used up')
    if (this.#transactions.size >= Math.max(1, this.#pool.limit - this.#record.slots)) {
      return this.#refuse('busy', this.#describeLoad('too many open transactions'))
    }
    const acquisition = await this.#pool.acquire({ organisation, values, needed, timeoutMs: this.#computeTimeout(deadline) })
    if (acquisition.type !== 'acquired') return this.#refuseAcquisition(acquisition)
    const { pooled } = acquisition
    if (!this.#isPermitted(this.#record, params)) {
      this.#pool.release(pooled)
      return this.#refuseUnpermitted()
    }
    const after = replicaRead === undefined ? undefined : this.#events.findReadPosition(this.#record, replicaRead.maxStalenessMs, replicaRead.floor)
    if (replicaRead !== undefined && after === undefined) {
      this.#pool.release(pooled)
      return this.#refuse('busy', 'no position of the primary inside the bound is known')
    }
    const isOnPrimary = replicaRead === undefined
    // A read-only transaction continues on a database that is no longer the primary, a read-write one does not.
    const begin: UpstreamCommand = { type: 'begin', isReadOnly: operation.isReadOnly && !isOnPrimary, after }
    const refused = await this.#openTransaction(pooled, params, begin, deadline)
    if (refused !== undefined) return refused
    // The database may have been closed during the response, after its open transactions were aborted.
    if (this.#isClosed) return this.#refuseUnsent(pooled, 'closed')
    this.#transactions.set(session, { pooled, isOnPrimary, hasWritten: false, usedAt: this.#clock.readTime(), isBusy: false })
    return this.#buildResult({ type: 'done', proof: '-', rows: [], position: undefined }, true)
  }

  /** Sends BEGIN and waits for its response, because a statement sent after a refused BEGIN runs outside of a transaction. */
  async #openTransaction (pooled: PooledConnection, params: UpstreamExecuteParams, begin: UpstreamCommand, deadline: number): Promise<UpstreamExecuteResult | undefined> {
    const isOnPrimary = params.replicaRead === undefined
    const setup = pooled.setup.listCommands(params.values, params.needed)
    const sentAt = this.#clock.readTime()
    const sent = await this.#sender.send(pooled, [...setup, begin], this.#computeTimeout(deadline), { needsPrimary: isOnPrimary, isJoining: false })
    if (sent === undefined) return this.#refuseUnsent(pooled, 'changing')
    const answer = sent.answers.at(-1) as StatementResponse
    this.#control.recordHealth(answer)
    if (isOnPrimary) this.#control.recordLeadership(answer, sentAt)
    const failure = this.#sender.recordSetup(pooled, setup, sent.answers.slice(0, -1), params)
    if (failure === undefined && answer.type === 'done' && pooled.connection.transactionState === 'transaction') return undefined
    this.#pool.release(pooled)
    if (failure !== undefined) return this.#buildResult(failure, false)
    return answer.type === 'done' ? this.#refuse('busy', 'the database did not open the transaction') : this.#buildResult(answer, false)
  }

  async #runInTransaction (params: UpstreamExecuteParams, operation: Operation<'run'>): Promise<UpstreamExecuteResult> {
    const transaction = this.#transactions.get(params.session)
    if (transaction === undefined) return this.#refuse('aborted', 'the transaction has ended')
    transaction.hasWritten ||= operation.access === 'write'
    const answer = await this.#sendWithSlot(params, transaction, { type: 'run', id: operation.id, text: operation.text, after: undefined })
    if (answer.answer.type !== 'done') this.#rollback(params.session)
    return answer
  }

  async #commit (params: UpstreamExecuteParams, operation: Operation<'commit'>): Promise<UpstreamExecuteResult> {
    const transaction = this.#transactions.get(params.session)
    if (transaction === undefined) return this.#refuse('aborted', 'the transaction has ended')
    const sentAt = this.#clock.readTime()
    const result = await this.#sendWithSlot(params, transaction, { type: 'commit', id: operation.id })
    if (result.answer.type === 'done') {
      this.#transactions.delete(params.session)
      this.#pool.release(transaction.pooled)
      // The COMMIT of a transaction that wrote nothing succeeds also on a database that is no longer the primary.
      if (transaction.isOnPrimary && transaction.hasWritten) this.#control.recordLeadership(result.answer, sentAt)
    } else this.#rollback(params.session)
    return result
  }

  async #sendWithSlot (params: UpstreamExecuteParams, transaction: PinnedTransaction, command: UpstreamCommand): Promise<UpstreamExecuteResult> {
    const { organisation, priority, timeLeftMs } = params
    const { pooled } = transaction
    const deadline = this.#clock.readTime() + timeLeftMs
    transaction.isBusy = true
    const slot = await this.#slots.wait({ organisation, priority, timeLeftMs, isPinned: true })
    if (slot.type === 'refused') {
      transaction.isBusy = false
      return this.#refuse('busy', slot.reason)
    }
    try {
      // The first statement is checked again, since nothing of the caller's has been sent before it; an open transaction stays where it is.
      if (isOpening(params.operation) && !this.#isPermitted(this.#record, params)) return this.#refuseUnpermitted()
      if (!pooled.connection.isOpen) return this.#isClosed ? this.#refuseClosed(params) : this.#refuse('aborted', 'the connection of the transaction ended')
      const failure = command.type === 'run' ? await this.#sender.applySetup(pooled, params, this.#computeTimeout(deadline)) : undefined
      if (failure !== undefined) {
        this.#control.recordHealth(failure)
        return this.#buildResult(failure, false)
      }
      const sentAt = this.#clock.readTime()
      const sent = await this.#sender.send(pooled, [command], this.#computeTimeout(deadline), { needsPrimary: transaction.isOnPrimary, isJoining: true })
      if (sent === undefined) return this.#isClosed ? this.#refuseClosed(params) : this.#refuse('aborted', 'another primary takes over or the transaction ended at its database')
      const [response] = sent.answers as [StatementResponse]
      this.#capacity.recordResponse(slot.id, params, response, sentAt)
      const answer = this.#sender.handleMissingStatement(pooled, response, params)
      this.#control.recordHealth(answer)
      const isCommitOfWrites = params.operation.type === 'commit' && transaction.isOnPrimary && transaction.hasWritten
      return this.#buildResult(isCommitOfWrites ? await this.#primary.decideCommit(answer, sent.revision, deadline - this.#clock.readTime()) : answer, true)
    } finally {
      transaction.isBusy = false
      transaction.usedAt = this.#clock.readTime()
      this.#slots.release(slot.id)
    }
  }

  #rollback (session: string): UpstreamExecuteResult {
    const transaction = this.#transactions.get(session)
    this.#transactions.delete(session)
    if (transaction !== undefined) void releaseTransaction(transaction, this.#pool, this.#isClosed)
    return this.#buildResult({ type: 'done', proof: '-', rows: [], position: undefined }, true)
  }

  /** Several waits of one operation share its deadline. */
  #computeTimeout (deadline: number): number { return Math.max(1, deadline - this.#clock.readTime()) }

  #needsPrimary ({ operation, session, replicaRead }: UpstreamExecuteParams): boolean {
    return isJoining(operation) ? this.#transactions.get(session)?.isOnPrimary === true : replicaRead === undefined
  }

  #refuseWithoutLease ({ session, operation }: UpstreamExecuteParams, reason: 'unproven' | 'changing' | 'replaced'): UpstreamExecuteResult {
    if (isJoining(operation)) this.#rollback(session)
    if (reason === 'replaced') return this.#refuse('not-primary', 'another database leads the group')
    const text = reason === 'unproven' ? 'this host cannot prove that no other one replaced the primary' : 'another primary takes over'
    return { ...this.#refuse('busy', text), isOwnerUnable: reason === 'unproven' }
  }

  #refuseUnpermitted (): UpstreamExecuteResult {
    return this.#refuse('busy', 'the home regions changed while it waited and no longer permit this database')
  }

  get #isClosed (): boolean { return this.#events.findClosure(this.#record) !== undefined }

  /** Refuses an operation as not run. The transaction that it belongs to is aborted. */
  #refuseClosed ({ session, operation }: Pick<UpstreamExecuteParams, 'session' | 'operation'>): UpstreamExecuteResult {
    if (isJoining(operation)) this.#rollback(session)
    this.#events.handleEvacuationRefusal(this.#record)
    return this.#refuse(isJoining(operation) ? 'aborted' : 'busy', `refused because ${this.#events.findClosure(this.#record) ?? 'its data centre was evacuated'}`)
  }

  /** Refuses a statement that was not sent, and releases its connection. */
  #refuseUnsent (pooled: PooledConnection, reason: string): UpstreamExecuteResult {
    this.#pool.release(pooled)
    const closure = this.#events.findClosure(this.#record)
    if (closure !== undefined) {
      this.#events.handleEvacuationRefusal(this.#record)
      return this.#refuse('busy', `refused because ${closure}`)
    }
    return this.#refuse('busy', `the right to use the primary ended before the statement was sent (${reason})`)
  }

  #refuseAcquisition (acquisition: { type: 'refused', failure: StatementFailure, text: string } | { type: 'unreachable', reason: string }): UpstreamExecuteResult {
    if (acquisition.type === 'refused') return this.#refuse(acquisition.failure, this.#describeLoad(acquisition.text))
    this.#health.recordFailure(this.#clock.readTime())
    return this.#refuse('busy', acquisition.reason)
  }

  #describeLoad (reason: string): string {
    const { running, waiting } = this.#slots.load
    return `${reason}; ${running} run and ${waiting} wait on ${this.#pool.size} of ${this.#pool.limit} connections`
  }

  #refuse (failure: StatementFailure, text: string): UpstreamExecuteResult { return this.#buildResult({ type: 'failed', failure, text, position: undefined }, false) }

  #buildResult (answer: StatementResponse, wasSent: boolean): UpstreamExecuteResult { return { answer, wasSent, waitMs: this.#slots.estimateWaitMs() } }
}
