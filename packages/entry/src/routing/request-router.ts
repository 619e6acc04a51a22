import type { Clock } from '@tanagerusher/coordination/common/clock'
import { OutcomeClassifier } from '@tanagerusher/coordination/outcome/outcome-classifier'
import type { RetryPolicy } from '@tanagerusher/coordination/outcome/retry-policy'
import type { ReplicaSelector } from '@tanagerusher/coordination/session/replica-selector'
import type { ErrorKind } from '@tanagerusher/errors/catalogue/error-kind'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { ExecuteParams, ExecuteResult } from '@tanagerusher/protocol/peer/execute'
import { findSqlState } from '@tanagerusher/protocol/postgres/find-sql-state'
import type { Tracing } from '@tanagerusher/runtime/trace/tracing'
import type { Database } from '@tanagerusher/state/configuration/database'
import type { Position } from '@tanagerusher/state/position/position'
import type { ConfigurationView } from '../link/configuration-view.js'
import type { EntryMetrics } from '../metrics/entry-metrics.js'
import type { FloorProbeRunner } from './floor-probe-runner.js'
import type { GroupTable } from './group-table.js'
import type { PoolDirectory } from './pool-directory.js'
import type { PoolLink } from './pool-link.js'
import type { RunningRequest } from './running-request.js'

interface CreateOptions {
  /** Incarnation of the entry. Makes request identifiers unique across the fleet and across restarts. */
  incarnation: string
  clock: Clock
  configuration: ConfigurationView
  groups: GroupTable
  pools: PoolDirectory
  probes: FloorProbeRunner
  selector: ReplicaSelector
  retryPolicy: RetryPolicy
  tracing: Tracing
  metrics: EntryMetrics
  windowBytes: number
  /** Time to wait for a response after the deadline that the pool enforces. */
  answerGraceMs: number
}

interface Target {
  database: Database
  access: 'read' | 'write'
  floor: Position | null
  maximumAgeMs: number | undefined
}

// Errors after which a retry may succeed at another host or database, or after a delay.
const RETRYABLE = new Set<ErrorKind>(['unavailable', 'peer-failed', 'shutting-down', 'outcome-unknown', 'configuration-stale', 'transaction-lost', 'internal'])
const READ_ONLY_SQL_STATE = '25006'
const READ_ONLY_REASON = 'read-only'
const STATUS_WAIT_MS = 250
// A pool that rejects a write has newer state than the last received status; its next status arrives within this time.
const REFUSED_WRITE_DELAY_MS = 50
const MINIMUM_DEADLINE_MS = 1

/** Sends requests to the pools: chooses the database, enforces the session's floor, and retries requests that may be repeated. */
export class RequestRouter {
  readonly #options: CreateOptions
  readonly #classifier = OutcomeClassifier.create()
  #counter = 0

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): RequestRouter {
    return new RequestRouter(options)
  }

  /**
   * Runs a request and updates the session's pin and floor.
   * @throws TanagerusherError whose kind states whether the work may have run
   */
  async run (request: RunningRequest): Promise<ExecuteResult> {
    this.#options.retryPolicy.recordRequest()
    for (let attempt = 0; ; attempt++) {
      try {
        const result = request.session.pin === undefined ? await this.#runUnpinned(request) : await this.#runPinned(request, request.session.pin)
        if (result !== undefined) return result
      } catch (error) {
        await this.#handleFailure(request, error as TanagerusherError, attempt)
      }
    }
  }

  /** Returns undefined when a replica rejected the request because it writes; the request must then run at the primary. */
  async #runUnpinned (request: RunningRequest): Promise<ExecuteResult | undefined> {
    const { batch, session } = request
    const target = await this.#chooseTarget(request)
    const link = this.#options.pools.findLink(target.database, request.excludedHosts) ??
      await request.wait(this.#options.pools.openLink(target.database, request.entry.group, request.excludedHosts))
    const transaction = batch.begins ? 'begin' : 'none'
    const result = await this.#execute(request, link, target, transaction)
    if (this.#isRefusedWrite(request, target, result)) {
      request.needsPrimary = true
      request.progress = 'waiting'
      return undefined
    }
    if (result.transactionStatus !== 'I') session.pin = { link, database: target.database.name, access: target.access }
    this.#raiseFloor(request, result)
    if (target.access === 'read') this.#options.metrics.recordRead(request.isAtReplica)
    return result
  }

  async #runPinned (request: RunningRequest, { link, database, access }: NonNullable<RunningRequest['session']['pin']>): Promise<ExecuteResult> {
    if (!link.isOpen) throw TanagerusherError.create('transaction-lost', { details: { reason: 'the pool is gone' } })
    const target = { database: { name: database } as Database, access, floor: null, maximumAgeMs: undefined }
    const result = await this.#execute(request, link, target, 'continue')
    if (result.transactionStatus === 'I') request.session.pin = undefined
    this.#raiseFloor(request, result)
    return result
  }

  async #execute (request: RunningRequest, link: PoolLink, target: Target, transaction: ExecuteParams['transaction']): Promise<ExecuteResult> {
    request.checkAborted()
    const remainingMs = request.deadline - this.#options.clock.readTime()
    if (remainingMs < MINIMUM_DEADLINE_MS) throw TanagerusherError.create('overloaded', { details: { reason: 'the deadline has passed' } })
    if (!link.isOpen) throw TanagerusherError.create('unavailable', { details: { group: request.entry.group, reason: 'the pool is gone' } })
    const params = this.#buildParams(request, target, transaction, remainingMs)
    request.requestId = params.requestId
    request.link = link
    request.databaseName = params.database
    request.progress = 'sent'
    const timeoutMs = remainingMs + this.#options.answerGraceMs
    const result = this.#options.tracing.isEnabled
      ? await this.#executeInSpan(request, link, params, timeoutMs)
      : await link.execute(params, request, timeoutMs)
    if (result.chunks !== request.chunks) await this.#waitForChunks(request, link, result.chunks)
    return result
  }

  async #executeInSpan (request: RunningRequest, link: PoolLink, params: ExecuteParams, timeoutMs: number): Promise<ExecuteResult> {
    const { database, access } = params
    return await this.#options.tracing.run('entry.execute', request.traceparent, async (traceparent) =>
      await link.execute(traceparent === undefined ? params : { ...params, traceparent }, request, timeoutMs), { database, access })
  }

  async #waitForChunks (request: RunningRequest, link: PoolLink, chunks: number): Promise<void> {
    link.addReceiver(request.requestId, request)
    try {
      await request.waitForChunks(chunks)
    } finally {
      link.removeReceiver(request.requestId)
    }
  }

  #buildParams ({ session, batch, entry, traceparent }: RunningRequest, target: Target, transaction: ExecuteParams['transaction'], remainingMs: number): ExecuteParams {
    const { idempotencyKey } = batch.comment
    return {
      requestId: `${this.#options.incarnation}-${++this.#counter}`,
      sessionId: session.transactionId,
      organisation: session.organisation,
      weight: this.#options.configuration.organisations.get(session.organisation)?.weight ?? 1,
      entryName: session.entryName,
      entry,
      group: entry.group,
      database: target.database.name,
      access: target.access,
      transaction,
      floor: target.floor,
      ...(target.maximumAgeMs === undefined ? {} : { maximumAgeMs: target.maximumAgeMs }),
      deadlineMs: remainingMs,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
      ...(traceparent === undefined ? {} : { traceparent }),
      frames: batch.frames as Buffer<ArrayBuffer>,
      statements: batch.statements as ExecuteParams['statements'],
      windowBytes: this.#options.windowBytes
    }
  }

  async #chooseTarget (request: RunningRequest): Promise<Target> {
    const { batch, entry, session } = request
    request.progress = 'waiting'
    request.isAtReplica = false
    const isRead = batch.access === 'read' && !request.needsPrimary && (!batch.begins || batch.isReadOnlyBegin)
    if (isRead) return await this.#chooseReadTarget(request)
    const database = await this.#waitForPrimary(request)
    return { database, access: 'write', floor: session.floor.find(entry.group) ?? null, maximumAgeMs: undefined }
  }

  async #chooseReadTarget (request: RunningRequest): Promise<Target> {
    const { entry, session } = request
    const { clock, groups, selector } = this.#options
    const { maximumAgeMs } = entry
    let floor = session.floor.find(entry.group) ?? null
    if (floor === null && (maximumAgeMs === undefined || !entry.readsOnReplicas)) floor = await this.#findFloor(request)
    const now = clock.readTime()
    request.routedAt ??= now
    const choice = entry.readsOnReplicas
      ? selector.choose({ floor, maximumAgeMs, routedAt: request.routedAt, excluded: request.excludedDatabases }, groups.listCandidates(entry.group), now)
      : undefined
    const replica = choice === undefined || choice.isPrimary ? undefined : this.#findDatabase(entry.group, choice.database)
    if (replica !== undefined) {
      request.isAtReplica = true
      return { database: replica, access: 'read', floor, maximumAgeMs }
    }
    // A primary that is partitioned from the group may have been replaced; only a floor makes a read there safe.
    floor ??= await this.#findFloor(request)
    return { database: await this.#waitForPrimary(request), access: 'read', floor, maximumAgeMs: undefined }
  }

  async #findFloor (request: RunningRequest): Promise<Position> {
    const { entry, session, deadline } = request
    const probe = this.#options.probes.requestFloor(entry.group, session.beganAt, deadline)
    const floor = await request.wait(probe.floor, probe.cancelWait)
    session.floor.raise(entry.group, floor)
    return floor
  }

  async #waitForPrimary (request: RunningRequest): Promise<Database> {
    const { clock, groups } = this.#options
    const { group } = request.entry
    for (;;) {
      request.checkAborted()
      const primary = groups.findPrimary(group)
      const database = primary === null ? undefined : this.#findDatabase(group, primary)
      if (database !== undefined) return database
      const remainingMs = request.deadline - clock.readTime()
      if (remainingMs <= 0) throw TanagerusherError.create('unavailable', { details: { group, reason: 'no primary is known' } })
      await request.wait(groups.waitForStatus(group, Math.min(remainingMs, STATUS_WAIT_MS)))
    }
  }

  #findDatabase (group: string, name: string): Database | undefined {
    return this.#options.configuration.groups.get(group)?.databases.find((database) => database.name === name)
  }

  #isRefusedWrite ({ isAtReplica, hasOutput, batch }: RunningRequest, { access }: Target, { frames }: ExecuteResult): boolean {
    if (!isAtReplica || access !== 'read' || hasOutput || batch.begins) return false
    return findSqlState(frames) === READ_ONLY_SQL_STATE
  }

  #raiseFloor ({ session, entry }: RunningRequest, { position }: ExecuteResult): void {
    if (position !== null) session.floor.raise(entry.group, position)
  }

  /**
   * Returns when the request must be retried.
   * @throws TanagerusherError the error for the caller, when the request must not be retried
   */
  async #handleFailure (request: RunningRequest, failure: TanagerusherError, attempt: number): Promise<void> {
    const { batch, entry, session } = request
    if (request.isAtReplica && isReadOnlyRefusal(failure)) {
      request.needsPrimary = true
      return
    }
    const isPinned = session.pin !== undefined
    const error = failure instanceof TanagerusherError ? failure : TanagerusherError.create('internal', { details: { reason: String(failure) } })
    const progress = request.progress === 'sent' && error.kind !== 'peer-failed' ? 'rejected' : request.progress
    // A transaction that this request began is rolled back when its connection is lost, unless the request also commits.
    const isInTransaction = isPinned || batch.begins
    const outcome = this.#classifier.classify({ progress, kind: error.kind, isInTransaction, commits: batch.commits })
    if (isPinned) this.#releasePin(request)
    else if (batch.begins && progress === 'sent' && request.link?.isOpen === true) request.link.release(session.transactionId)
    const isRepeatable = entry.repeatable || batch.comment.idempotencyKey !== undefined || request.isAtReplica
    const decision = request.isAborted || request.hasOutput || !RETRYABLE.has(error.kind)
      ? { type: 'fail' as const }
      : this.#options.retryPolicy.decide({ attempt, outcome, isRepeatable, isInTransaction: isPinned, deadline: request.deadline }, this.#options.clock.readTime())
    if (decision.type === 'fail') throw createFinalError(error, outcome, request, isPinned)
    this.#excludeFailed(request, error)
    const delayMs = error.kind === 'unavailable' && !request.isAtReplica ? Math.max(decision.delayMs, REFUSED_WRITE_DELAY_MS) : decision.delayMs
    request.progress = 'waiting'
    if (delayMs > 0) await request.wait(this.#options.groups.waitForStatus(entry.group, delayMs))
  }

  /** Removes the pin after a failure; the pool rolls back the open transaction. */
  #releasePin ({ session }: RunningRequest): void {
    if (session.pin?.link.isOpen === true) session.pin.link.release(session.transactionId)
    session.pin = undefined
  }

  #excludeFailed (request: RunningRequest, { kind }: TanagerusherError): void {
    if (request.isAtReplica && request.databaseName !== '') request.excludedDatabases.add(request.databaseName)
    if (kind === 'shutting-down' && request.link !== undefined) request.excludedHosts.add(request.link.address)
  }
}

/** Checks whether the pool rejected the request because a read-only session cannot write. */
function isReadOnlyRefusal ({ kind, details }: TanagerusherError): boolean {
  return kind === 'unavailable' && details?.reason === READ_ONLY_REASON
}

function createFinalError (error: TanagerusherError, outcome: 'not-run' | 'unknown', { entry }: RunningRequest, isPinned: boolean): TanagerusherError {
  const { kind, definition } = error
  if (outcome === 'unknown') return kind === 'outcome-unknown' ? error : TanagerusherError.create('outcome-unknown', { details: { reason: describeReason(error) } })
  if (definition.outcome === 'not-run') return error
  if (isPinned) return TanagerusherError.create('transaction-lost', { details: { reason: describeReason(error) } })
  return TanagerusherError.create('unavailable', { details: { group: entry.group, reason: describeReason(error) } })
}

/** Describes an error for callers without the addresses of hosts. */
function describeReason ({ kind, details }: TanagerusherError): string {
  return kind === 'peer-failed' ? `the pool did not answer: ${details.reason}` : String(details.reason ?? kind)
}
