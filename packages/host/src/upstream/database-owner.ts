import type { OwnerEvents } from './owner-events.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamConnector } from '@tanagerusher/coordination/common/upstream-connector'
import type { PrimaryRights } from '@tanagerusher/coordination/failover/primary-rights'
import { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import type { UpstreamExecuteParams, UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import { ConnectionSet } from './connection-set.js'
import { DatabaseControl } from './database-control.js'
import type { HeldConnection } from './held-connection.js'
import { PrimaryGate } from './primary-gate.js'
import { SlotGate } from './slot-gate.js'

interface CreateOptions {
  record: UpstreamRecord
  connector: UpstreamConnector
  clock: Clock
  logger: Logger
  events: OwnerEvents
  rights: PrimaryRights
  checkClocks: () => void
}

interface Transaction { held: HeldConnection, provesLeader: boolean, hasWritten: boolean, usedAt: number, isBusy: boolean }

interface Sent { answers: StatementAnswer[], revision: number }

type Operation<Type> = Extract<UpstreamExecuteParams['operation'], { type: Type }>

/** Time for the end of a transaction, which takes no slot. */
const ROLLBACK_TIMEOUT_MS = 1000
/** A request holds its slot while it waits for a connection, so it waits for little more than the set-up of one. */
const CONNECTION_WAIT_MS = 300
/** Well above every limit for a transaction's rest. */
const FORGOTTEN_AFTER_MS = 15_000

/** Work of one database on this host: slots, connections, pinned transactions, and what its answers say of it. */
export class DatabaseOwner {
  #record: UpstreamRecord
  readonly #clock: Clock
  readonly #events: OwnerEvents
  readonly #connections: ConnectionSet
  readonly #slots: SlotGate
  readonly #primary: PrimaryGate
  readonly #control: DatabaseControl
  readonly #health = UpstreamHealth.create()
  readonly #transactions = new Map<string, Transaction>()
  #usedAt: number
  #writesPaused: Promise<void> | undefined
  #resumeWrites: (() => void) | undefined

  private constructor ({ record, connector, clock, logger, events, rights, checkClocks }: CreateOptions) {
    this.#record = record
    this.#clock = clock
    this.#events = events
    this.#connections = ConnectionSet.create({ record, connector, clock, logger, handleFree: () => { this.#slots.startWaiting() } })
    this.#slots = SlotGate.create({ slots: record.slots, clock, hasConnection: (organisation) => this.#connections.hasRoom(organisation) })
    this.#primary = PrimaryGate.create({ rights, group: record.group, databaseId: record.id, clock, checkClocks })
    this.#control = DatabaseControl.create({ record, connections: this.#connections, primary: this.#primary, health: this.#health, clock, logger, events })
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
    this.#control.organisation = params.organisation
    const { operation } = params
    if (operation.type === 'rollback') return this.#rollback(params.session)
    const deadline = this.#usedAt + params.timeLeftMs
    if (this.#needsPrimary(params)) {
      const check = await this.#primary.wait(isJoining(operation), params.timeLeftMs)
      if (check.type === 'refused') return this.#refuseRight(params, check.reason)
    }
    if (isWriting(operation)) await this.#waitForWrites(deadline - this.#clock.readTime())
    const timeLeftMs = deadline - this.#clock.readTime()
    if (timeLeftMs <= 0) return this.#refuse('busy', 'the primary hands over')
    if (operation.type === 'begin') return await this.#begin({ ...params, timeLeftMs }, operation)
    if (operation.type === 'commit') return await this.#commit({ ...params, timeLeftMs }, operation)
    if (operation.transaction === 'none') return await this.#runSingle({ ...params, timeLeftMs }, operation)
    return operation.transaction === 'joins' ? await this.#runInTransaction({ ...params, timeLeftMs }, operation) : await this.#runFirst({ ...params, timeLeftMs }, operation, deadline)
  }

  /** Waits until nothing that needs the primary is under way or open; no longer than `timeLeftMs`. */
  async quiesce (timeLeftMs: number): Promise<void> {
    await this.#primary.quiesce(() => ![...this.#transactions.values()].some(({ provesLeader }) => provesLeader), timeLeftMs)
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
    return await this.#control.probe()
  }

  /** Runs one command of the proxy's own on a connection of its own. */
  async runControl (command: UpstreamCommand): Promise<StatementAnswer> {
    return await this.#control.run(command)
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
    const check = this.#primary.check(true)
    if (check.type === 'refused') return this.#refuseUnsent(held, check.reason)
    const [read, rollback] = held.connection.send([run, { type: 'rollback' }], timeoutMs) as [Promise<StatementAnswer>, Promise<StatementAnswer>]
    const [answer] = await this.#primary.track([read]) as [StatementAnswer]
    this.#control.recordHealth(answer)
    void rollback.then((ended) => { ended.type === 'done' ? this.#connections.release(held) : this.#connections.discard(held) })
    return this.#answer(answer, true)
  }

  async #finishSingle (held: HeldConnection, commands: UpstreamCommand[], setupCount: number, timeoutMs: number, provesLeader: boolean): Promise<UpstreamExecuteResult> {
    const sentAt = this.#clock.readTime()
    const sent = await this.#send(held, commands, timeoutMs, provesLeader, false)
    if (sent === undefined) return this.#refuseUnsent(held, 'changing')
    const { answers, revision } = sent
    const answer = answers.at(-1) as StatementAnswer
    this.#control.recordHealth(answer)
    if (provesLeader) this.#control.recordLeadership(answer, sentAt)
    const isSound = answer.type !== 'lost' && answers.slice(0, setupCount).every(({ type }) => type === 'done')
    if (isSound) this.#connections.release(held)
    else this.#connections.discard(held)
    return this.#answer(provesLeader ? await this.#primary.decideCommit(answer, revision, sentAt + timeoutMs - this.#clock.readTime()) : answer, true)
  }

  /** Sends in one write; undefined when the right to the primary has ended and nothing was sent. */
  async #send (held: HeldConnection, commands: UpstreamCommand[], timeoutMs: number, needsPrimary: boolean, isJoining: boolean): Promise<Sent | undefined> {
    if (!needsPrimary) return { answers: await Promise.all(held.connection.send(commands, timeoutMs)), revision: 0 }
    const check = this.#primary.check(isJoining)
    if (check.type === 'refused') return undefined
    return { answers: await this.#primary.track(held.connection.send(commands, timeoutMs)), revision: check.revision }
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
    this.#transactions.set(session, { held, provesLeader, hasWritten: false, usedAt: this.#clock.readTime(), isBusy: false })
    return this.#answer({ type: 'done', proof: '-', rows: [], position: undefined }, true)
  }

  /** Sends BEGIN and waits for its answer, since a statement behind a refused one runs outside of a transaction. */
  async #openTransaction (held: HeldConnection, setup: UpstreamCommand[], begin: UpstreamCommand, timeoutMs: number, provesLeader: boolean): Promise<UpstreamExecuteResult | undefined> {
    const sentAt = this.#clock.readTime()
    const sent = await this.#send(held, [...setup, begin], timeoutMs, provesLeader, false)
    if (sent === undefined) return this.#refuseUnsent(held, 'changing')
    const { answers } = sent
    const answer = answers.at(-1) as StatementAnswer
    this.#control.recordHealth(answer)
    if (provesLeader) this.#control.recordLeadership(answer, sentAt)
    if (answers.every(({ type }) => type === 'done')) return undefined
    if (answer.type === 'failed' && answers.slice(0, -1).every(({ type }) => type === 'done')) this.#connections.release(held)
    else this.#connections.discard(held)
    return this.#answer(answer.type === 'done' ? { type: 'lost', reason: 'session values were refused' } : answer, false)
  }

  async #runInTransaction (params: UpstreamExecuteParams, operation: Operation<'run'>): Promise<UpstreamExecuteResult> {
    const transaction = this.#transactions.get(params.session)
    if (transaction === undefined) return this.#refuse('aborted', 'the transaction has ended')
    const { held } = transaction
    transaction.hasWritten ||= operation.access === 'write'
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
      if (!transaction.held.connection.isOpen) return this.#refuse('aborted', 'the connection of the transaction ended')
      const sent = await this.#send(transaction.held, buildCommands(), Math.max(1, deadline - this.#clock.readTime()), transaction.provesLeader, true)
      if (sent === undefined) return this.#refuse('aborted', 'another primary takes over')
      const answer = sent.answers.at(-1) as StatementAnswer
      this.#control.recordHealth(answer)
      const isCommitOfWrites = params.operation.type === 'commit' && transaction.provesLeader && transaction.hasWritten
      return this.#answer(isCommitOfWrites ? await this.#primary.decideCommit(answer, sent.revision, deadline - this.#clock.readTime()) : answer, true)
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
    const [answer] = await Promise.all(held.connection.send([{ type: 'rollback' }], ROLLBACK_TIMEOUT_MS)) as [StatementAnswer]
    if (answer.type === 'done') this.#connections.release(held)
    else this.#connections.discard(held)
  }

  #needsPrimary ({ operation, session, replicaRead }: UpstreamExecuteParams): boolean {
    return isJoining(operation) ? this.#transactions.get(session)?.provesLeader === true : replicaRead === undefined
  }

  #refuseRight ({ session, operation }: UpstreamExecuteParams, reason: 'unproven' | 'changing' | 'replaced'): UpstreamExecuteResult {
    if (isJoining(operation)) this.#rollback(session)
    if (reason === 'replaced') return this.#refuse('not-primary', 'another database leads the group')
    const text = reason === 'unproven' ? 'this host cannot prove that no other one replaced the primary' : 'another primary takes over'
    return { ...this.#refuse('busy', text), isOwnerUnable: reason === 'unproven' }
  }

  /** Session values that were prepared for the connection were not sent, so it cannot be used again. */
  #refuseUnsent (held: HeldConnection, reason: string): UpstreamExecuteResult {
    this.#connections.discard(held)
    return this.#refuse('busy', `the right to use the primary ended before the statement was sent (${reason})`)
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
}

function isWriting (operation: UpstreamExecuteParams['operation']): boolean {
  return operation.type === 'commit' || (operation.type === 'run' && operation.access === 'write' && operation.transaction === 'none')
}

function isJoining (operation: UpstreamExecuteParams['operation']): boolean {
  return operation.type === 'commit' || (operation.type === 'run' && operation.transaction === 'joins')
}
