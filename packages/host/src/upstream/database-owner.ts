import type { OwnerEvents } from './owner-events.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamConnector } from '@tanagerusher/coordination/common/upstream-connector'
import { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import type { UpstreamExecuteParams, UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import { ConnectionSet } from './connection-set.js'
import type { HeldConnection } from './held-connection.js'
import { SlotGate } from './slot-gate.js'

interface CreateOptions {
  record: UpstreamRecord
  connector: UpstreamConnector
  clock: Clock
  logger: Logger
  events: OwnerEvents
}

interface Transaction { held: HeldConnection, provesLeader: boolean, usedAt: number, isBusy: boolean }

type Operation<Type> = Extract<UpstreamExecuteParams['operation'], { type: Type }>

/** Time for control statements, which take no slot. */
const CONTROL_TIMEOUT_MS = 1000
const PROBE_TIMEOUT_MS = 400
/** A request holds its slot while it waits for a connection, so it waits for little more than the set-up of one. */
const CONNECTION_WAIT_MS = 300
/** Well above every limit for a transaction's rest. */
const FORGOTTEN_AFTER_MS = 15_000
const PROBE_ORGANISATION = '-'

/** Work of one database on this host: slots, connections, pinned transactions, and what its answers say of it. */
export class DatabaseOwner {
  #record: UpstreamRecord
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #events: OwnerEvents
  readonly #connections: ConnectionSet
  readonly #slots: SlotGate
  readonly #health = UpstreamHealth.create()
  readonly #transactions = new Map<string, Transaction>()
  #organisation = PROBE_ORGANISATION
  #probe: Promise<boolean> | undefined
  #usedAt: number
  #writesPaused: Promise<void> | undefined
  #resumeWrites: (() => void) | undefined

  private constructor ({ record, connector, clock, logger, events }: CreateOptions) {
    this.#record = record
    this.#clock = clock
    this.#logger = logger
    this.#events = events
    this.#connections = ConnectionSet.create({ record, connector, clock, logger, handleFree: () => { this.#slots.startWaiting() } })
    this.#slots = SlotGate.create({ slots: record.slots, clock, hasConnection: (organisation) => this.#connections.hasRoom(organisation) })
    this.#usedAt = clock.readTime()
  }

  static create (options: CreateOptions): DatabaseOwner {
    return new DatabaseOwner(options)
  }

  get record (): UpstreamRecord { return this.#record }
  get usedAt (): number { return this.#usedAt }
  get health (): UpstreamHealth { return this.#health }
  get openTransactions (): number { return this.#transactions.size }
  get load (): { running: number, waiting: number, connections: number } { return { ...this.#slots.load, connections: this.#connections.size } }

  estimateWaitMs (): number { return this.#slots.estimateWaitMs() }
  updateRecord (record: UpstreamRecord): void { this.#record = record }
  updateLimit (limit: number): void { this.#connections.updateLimit(limit) }

  /** Holds single writes and commits back while the primary hands over. */
  pauseWrites (): void {
    this.#writesPaused ??= new Promise((resolve) => { this.#resumeWrites = resolve })
  }

  resumeWrites (): void {
    this.#resumeWrites?.()
    this.#writesPaused = undefined
  }

  async execute (params: UpstreamExecuteParams): Promise<UpstreamExecuteResult> {
    this.#usedAt = this.#clock.readTime()
    this.#organisation = params.organisation
    const { operation } = params
    if (operation.type === 'rollback') return this.#rollback(params.session)
    if (operation.type === 'begin') return await this.#begin(params, operation)
    const deadline = this.#usedAt + params.timeLeftMs
    if (isWriting(operation)) await this.#waitForWrites(params.timeLeftMs)
    const timeLeftMs = deadline - this.#clock.readTime()
    if (timeLeftMs <= 0) return this.#refuse('busy', 'the primary hands over')
    if (operation.type === 'commit') return await this.#commit({ ...params, timeLeftMs }, operation)
    if (operation.transaction === 'none') return await this.#runSingle({ ...params, timeLeftMs }, operation)
    return operation.transaction === 'joins' ? await this.#runInTransaction({ ...params, timeLeftMs }, operation) : await this.#runFirst({ ...params, timeLeftMs }, operation, deadline)
  }

  /** Ends the transactions of sessions that `isGone` names. */
  abandonSessions (isGone: (session: string) => boolean): void {
    for (const [session, transaction] of this.#transactions) {
      if (!isGone(session)) continue
      this.#transactions.delete(session)
      this.#connections.discard(transaction.held)
    }
  }

  /** Ends transactions whose host has forgotten them; callers' rests are limited by their own host. */
  abandonRested (): void {
    const now = this.#clock.readTime()
    this.abandonSessions((session) => {
      const transaction = this.#transactions.get(session)
      return transaction !== undefined && !transaction.isBusy && now - transaction.usedAt > FORGOTTEN_AFTER_MS
    })
  }

  /** Asks the database whether it leads, without taking a slot. True when it answered at all. */
  async probe (): Promise<boolean> {
    this.#probe ??= this.#runProbe().finally(() => { this.#probe = undefined })
    return await this.#probe
  }

  /** Runs one command of the proxy's own on a connection of its own. */
  async runControl (command: UpstreamCommand): Promise<StatementAnswer> {
    const held = await this.#acquireForProbe()
    if (held === undefined) return { type: 'lost', reason: 'no connection' }
    const [answer] = await Promise.all(held.connection.send([command], CONTROL_TIMEOUT_MS)) as [StatementAnswer]
    this.#recordHealth(answer)
    if (answer.type === 'lost') this.#connections.discard(held)
    else this.#connections.release(held)
    return answer
  }

  close (): void {
    this.#slots.close()
    this.#connections.close()
    this.abandonSessions(() => true)
  }

  async #waitForWrites (timeLeftMs: number): Promise<void> {
    if (this.#writesPaused === undefined) return
    await Promise.race([this.#writesPaused, new Promise((resolve) => setTimeout(resolve, timeLeftMs))])
  }

  async #runProbe (): Promise<boolean> {
    const held = await this.#acquireForProbe()
    if (held === undefined) return false
    const sentAt = this.#clock.readTime()
    const [begin] = await Promise.all(held.connection.send([{ type: 'begin', isReadOnly: false, after: undefined }, { type: 'rollback' }], PROBE_TIMEOUT_MS)) as [StatementAnswer, StatementAnswer]
    this.#recordHealth(begin)
    this.#recordLeadership(begin, sentAt)
    if (begin.type !== 'lost') {
      this.#connections.release(held)
      return true
    }
    // Where one connection has fallen silent the others may have too; each would cost a request its whole time limit.
    this.#connections.discard(held)
    this.#connections.closeIdleUnusedSince(sentAt)
    return false
  }

  async #acquireForProbe (): Promise<HeldConnection | undefined> {
    const idle = this.#connections.acquireAnyIdle()
    if (idle !== undefined) return idle
    const acquisition = await this.#connections.acquire(this.#organisation, [], PROBE_TIMEOUT_MS)
    if (acquisition.type === 'acquired') return acquisition.held
    if (acquisition.type === 'unreachable') this.#health.recordFailure(this.#clock.readTime())
    return undefined
  }

  async #runSingle (params: UpstreamExecuteParams, operation: Operation<'run'>): Promise<UpstreamExecuteResult> {
    const { organisation, priority, timeLeftMs, values, needed, replicaRead } = params
    const deadline = this.#clock.readTime() + timeLeftMs
    if (!this.#health.takeTrial(this.#clock.readTime())) return this.#refuse('busy', 'the database does not answer')
    if (replicaRead !== undefined) await this.#events.prepareReadPosition(this.#record, replicaRead.maxStalenessMs)
    const slot = await this.#slots.wait({ organisation, priority, timeLeftMs, isPinned: false })
    if (slot.type === 'refused') return this.#refuse('busy', this.#describeLoad(slot.reason))
    try {
      const after = replicaRead === undefined ? undefined : this.#events.findReadPosition(this.#record, replicaRead.maxStalenessMs, replicaRead.floor)
      if (replicaRead !== undefined && after === undefined) return this.#refuse('busy', 'no position of the primary inside the bound is known')
      const acquisition = await this.#connections.acquire(organisation, values, Math.min(CONNECTION_WAIT_MS, deadline - this.#clock.readTime()))
      if (acquisition.type !== 'acquired') return this.#refuseAcquisition(acquisition)
      const { held } = acquisition
      const timeoutMs = Math.max(1, deadline - this.#clock.readTime())
      const setup = held.setup.listCommands(values, needed)
      const run: UpstreamCommand = { type: 'run', id: operation.id, text: operation.text, after: undefined }
      if (operation.access === 'write') return await this.#finishSingle(held, [...setup, run], setup.length, timeoutMs, true)
      if (after !== undefined) return await this.#finishSingle(held, [...setup, { ...run, after }], setup.length, timeoutMs, false)
      return await this.#runProvenRead(held, setup, run, timeoutMs)
    } finally {
      this.#slots.release(slot.id)
    }
  }

  /** A plain read succeeds also at a database that lost the lead; inside a transaction it does not. */
  async #runProvenRead (held: HeldConnection, setup: UpstreamCommand[], run: UpstreamCommand, timeoutMs: number): Promise<UpstreamExecuteResult> {
    const refused = await this.#openTransaction(held, setup, { type: 'begin', isReadOnly: false, after: undefined }, timeoutMs, true)
    if (refused !== undefined) return refused
    const [read, rollback] = held.connection.send([run, { type: 'rollback' }], timeoutMs) as [Promise<StatementAnswer>, Promise<StatementAnswer>]
    const answer = await read
    this.#recordHealth(answer)
    void rollback.then((ended) => { ended.type === 'done' ? this.#connections.release(held) : this.#connections.discard(held) })
    return this.#answer(answer, true)
  }

  async #finishSingle (held: HeldConnection, commands: UpstreamCommand[], setupCount: number, timeoutMs: number, provesLeader: boolean): Promise<UpstreamExecuteResult> {
    const sentAt = this.#clock.readTime()
    const answers = await Promise.all(held.connection.send(commands, timeoutMs))
    const answer = answers.at(-1) as StatementAnswer
    this.#recordHealth(answer)
    if (provesLeader) this.#recordLeadership(answer, sentAt)
    const isSound = answer.type !== 'lost' && answers.slice(0, setupCount).every(({ type }) => type === 'done')
    if (isSound) this.#connections.release(held)
    else this.#connections.discard(held)
    return this.#answer(answer, true)
  }

  /** Opens a transaction and runs its first statement; the connection is taken only now, not while the caller pauses. */
  async #runFirst (params: UpstreamExecuteParams, operation: Operation<'run'>, deadline: number): Promise<UpstreamExecuteResult> {
    const begun = await this.#begin(params, operation)
    if (begun.answer.type !== 'done') return begun
    return await this.#runInTransaction({ ...params, timeLeftMs: Math.max(1, deadline - this.#clock.readTime()) }, operation)
  }

  async #begin (params: UpstreamExecuteParams, operation: Pick<Operation<'begin'>, 'isReadOnly'>): Promise<UpstreamExecuteResult> {
    const { session, organisation, values, replicaRead, timeLeftMs } = params
    if (!this.#health.takeTrial(this.#clock.readTime())) return this.#refuse('busy', 'the database does not answer')
    if (replicaRead !== undefined) await this.#events.prepareReadPosition(this.#record, replicaRead.maxStalenessMs)
    if (this.#transactions.size >= Math.max(1, this.#connections.limit - this.#record.slots)) {
      return this.#refuse('busy', this.#describeLoad('too many open transactions'))
    }
    const acquisition = await this.#connections.acquire(organisation, values, timeLeftMs)
    if (acquisition.type !== 'acquired') return this.#refuseAcquisition(acquisition)
    const { held } = acquisition
    const after = replicaRead === undefined ? undefined : this.#events.findReadPosition(this.#record, replicaRead.maxStalenessMs, replicaRead.floor)
    if (replicaRead !== undefined && after === undefined) {
      this.#connections.release(held)
      return this.#refuse('busy', 'no position of the primary inside the bound is known')
    }
    const provesLeader = replicaRead === undefined
    // A read-only transaction goes on at a database that lost the lead, a plain one does not.
    const begin: UpstreamCommand = { type: 'begin', isReadOnly: operation.isReadOnly && !provesLeader, after }
    const setup = held.setup.listCommands(values, undefined)
    const refused = await this.#openTransaction(held, setup, begin, timeLeftMs, provesLeader)
    if (refused !== undefined) return refused
    this.#transactions.set(session, { held, provesLeader, usedAt: this.#clock.readTime(), isBusy: false })
    return this.#answer({ type: 'done', proof: '-', rows: [], position: undefined }, true)
  }

  /** Sends BEGIN and waits for its answer, since a statement behind a refused one runs outside of a transaction. */
  async #openTransaction (held: HeldConnection, setup: UpstreamCommand[], begin: UpstreamCommand, timeoutMs: number, provesLeader: boolean): Promise<UpstreamExecuteResult | undefined> {
    const sentAt = this.#clock.readTime()
    const answers = await Promise.all(held.connection.send([...setup, begin], timeoutMs))
    const answer = answers.at(-1) as StatementAnswer
    this.#recordHealth(answer)
    if (provesLeader) this.#recordLeadership(answer, sentAt)
    if (answers.every(({ type }) => type === 'done')) return undefined
    if (answer.type === 'failed' && answers.slice(0, -1).every(({ type }) => type === 'done')) this.#connections.release(held)
    else this.#connections.discard(held)
    return this.#answer(answer.type === 'done' ? { type: 'lost', reason: 'session values were refused' } : answer, false)
  }

  async #runInTransaction (params: UpstreamExecuteParams, operation: Operation<'run'>): Promise<UpstreamExecuteResult> {
    const transaction = this.#transactions.get(params.session)
    if (transaction === undefined) return this.#refuse('aborted', 'the transaction has ended')
    const { held } = transaction
    const answer = await this.#sendWithSlot(params, transaction, () => {
      const setup = held.setup.listCommands(params.values, params.needed)
      return [...setup, { type: 'run', id: operation.id, text: operation.text, after: undefined }]
    })
    if (answer.answer.type !== 'done') this.#rollback(params.session)
    return answer
  }

  async #commit (params: UpstreamExecuteParams, operation: Operation<'commit'>): Promise<UpstreamExecuteResult> {
    const transaction = this.#transactions.get(params.session)
    if (transaction === undefined) return this.#refuse('aborted', 'the transaction has ended')
    const sentAt = this.#clock.readTime()
    const result = await this.#sendWithSlot(params, transaction, () => [{ type: 'commit', id: operation.id }])
    if (result.answer.type === 'done') {
      this.#transactions.delete(params.session)
      this.#connections.release(transaction.held)
      if (transaction.provesLeader && result.answer.position !== undefined) this.#events.handleLeaderProof(this.#record, result.answer.position, sentAt)
    } else this.#rollback(params.session)
    return result
  }

  async #sendWithSlot (params: UpstreamExecuteParams, transaction: Transaction, buildCommands: () => UpstreamCommand[]): Promise<UpstreamExecuteResult> {
    const { organisation, priority, timeLeftMs } = params
    const deadline = this.#clock.readTime() + timeLeftMs
    transaction.isBusy = true
    const slot = await this.#slots.wait({ organisation, priority, timeLeftMs, isPinned: true })
    if (slot.type === 'refused') {
      transaction.isBusy = false
      return this.#refuse('busy', slot.reason)
    }
    try {
      const { connection } = transaction.held
      if (!connection.isOpen) return this.#refuse('aborted', 'the connection of the transaction ended')
      const answers = await Promise.all(connection.send(buildCommands(), Math.max(1, deadline - this.#clock.readTime())))
      const answer = answers.at(-1) as StatementAnswer
      this.#recordHealth(answer)
      return this.#answer(answer, true)
    } finally {
      transaction.isBusy = false
      transaction.usedAt = this.#clock.readTime()
      this.#slots.release(slot.id)
    }
  }

  #rollback (session: string): UpstreamExecuteResult {
    const transaction = this.#transactions.get(session)
    this.#transactions.delete(session)
    if (transaction !== undefined) void this.#endTransaction(transaction)
    return this.#answer({ type: 'done', proof: '-', rows: [], position: undefined }, true)
  }

  async #endTransaction ({ held, isBusy }: Transaction): Promise<void> {
    if (isBusy || !held.connection.isOpen) {
      this.#connections.discard(held)
      return
    }
    const [answer] = await Promise.all(held.connection.send([{ type: 'rollback' }], CONTROL_TIMEOUT_MS)) as [StatementAnswer]
    if (answer.type === 'done') this.#connections.release(held)
    else this.#connections.discard(held)
  }

  #refuseAcquisition (acquisition: { type: 'refused', failure: StatementFailure, text: string } | { type: 'unreachable', reason: string }): UpstreamExecuteResult {
    if (acquisition.type === 'refused') return this.#refuse(acquisition.failure, this.#describeLoad(acquisition.text))
    this.#health.recordFailure(this.#clock.readTime())
    return this.#refuse('busy', acquisition.reason)
  }

  #describeLoad (reason: string): string {
    const { running, waiting } = this.#slots.load
    return `${reason}; ${running} run and ${waiting} wait on ${this.#connections.size} of ${this.#connections.limit} connections`
  }

  #refuse (failure: StatementFailure, text: string): UpstreamExecuteResult {
    return this.#answer({ type: 'failed', failure, text, position: undefined }, false)
  }

  #answer (answer: StatementAnswer, wasSent: boolean): UpstreamExecuteResult {
    return { answer, wasSent, waitMs: this.#slots.estimateWaitMs() }
  }

  #recordHealth (answer: StatementAnswer): void {
    if (answer.type !== 'lost') {
      this.#health.recordAnswer(this.#clock.readTime())
      return
    }
    this.#health.recordFailure(this.#clock.readTime())
    if (this.#connections.size > 0) void this.probe()
  }

  #recordLeadership (answer: StatementAnswer, sentAt: number): void {
    if (answer.type === 'done' && answer.position !== undefined) this.#events.handleLeaderProof(this.#record, answer.position, sentAt)
    if (answer.type === 'failed' && answer.failure === 'not-primary') {
      this.#logger.info('database does not lead', { database: this.#record.id, group: this.#record.group })
      this.#events.handleLeaderRefusal(this.#record)
    }
  }
}

function isWriting (operation: UpstreamExecuteParams['operation']): boolean {
  return operation.type === 'commit' || (operation.type === 'run' && operation.access === 'write' && operation.transaction === 'none')
}
