import type { TransactionPlace } from './transaction-place.js'
import type { SingleStatement } from './single-statement.js'
import type { OperationContext } from './operation-context.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { decideStatementOutcome, type StatementDecision } from '@tanagerusher/coordination/outcome/decide-statement-outcome'
import { chooseReadUpstream } from '@tanagerusher/coordination/placement/choose-read-upstream'
import { LagMemory } from '@tanagerusher/coordination/placement/lag-memory'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { OwnedOperation, OwnerRouter } from '../upstream/owner-router.js'
import type { RoutedResult } from '../upstream/routed-result.js'
import { pause } from '../program/pause.js'

export type FinalAnswer = Extract<StatementDecision, { type: 'answer' }>['answer']

/** `answer` is that of the first statement, if the transaction began with one. */
export type BeginResult =
  | { type: 'begun', place: TransactionPlace, answer: Extract<StatementAnswer, { type: 'done' }> }
  | { type: 'failed', failure: StatementFailure, text: string }

interface CreateOptions {
  router: OwnerRouter
  leaders: LeaderView
  listRecords: (group: string) => UpstreamRecord[]
  clock: Clock
  logger: Logger
}

const MAXIMUM_ATTEMPTS = 6
/** Replicas receive a commit about this late; a session reads its newer ones at the primary. */
const REPLICATION_MS = 150
const RETRY_PAUSE_MS = 40
/** With less time left a statement has no chance to be answered. */
const MINIMUM_LEFT_MS = 20

/** Finds a database for each operation of a caller and tries again where nothing has run. */
export class OperationRunner {
  readonly #options: CreateOptions

  readonly #lags = LagMemory.create()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): OperationRunner {
    return new OperationRunner(options)
  }

  async runSingle (context: OperationContext, { id, text, access, needed }: SingleStatement): Promise<FinalAnswer> {
    const operation: UpstreamExecuteParams['operation'] = { type: 'run', id, text, access, transaction: 'none', isReadOnly: false }
    const mayUseReplica = access === 'read' && this.#mayUseReplica(context)
    let answer: FinalAnswer | undefined
    const failure = await this.#tryDatabases(context, mayUseReplica, id, async (record, replicaRead) => {
      const { result } = await this.#options.router.execute(record, this.#buildParams(context, operation, replicaRead, needed))
      const decision = decideStatementOutcome(result, access)
      if (decision.type === 'retry') return decision.reason
      answer = decision.answer
      return undefined
    })
    return answer ?? { type: 'failed', failure: 'busy', text: failure ?? 'not run', position: undefined }
  }

  /**
   * Opens a transaction, with its first statement if there is one; a caller that only reads may get a replica. Until COMMIT is
   * sent nothing is kept, so all of it may be tried again elsewhere.
   */
  async begin (context: OperationContext, isReadOnly: boolean, first: SingleStatement | undefined): Promise<BeginResult> {
    const mayUseReplica = isReadOnly && this.#mayUseReplica(context)
    const operation: UpstreamExecuteParams['operation'] = first === undefined
      ? { type: 'begin', isReadOnly }
      : { type: 'run', id: first.id, text: first.text, access: first.access, transaction: 'opens', isReadOnly }
    let begun: Extract<BeginResult, { type: 'begun' }> | undefined
    let attempts = 0
    const failure = await this.#tryDatabases(context, mayUseReplica, first?.id ?? context.session, async (record, replicaRead) => {
      const session = `${context.session}.${++attempts}`
      const { result: { answer }, host } = await this.#options.router.execute(record, this.#buildParams({ ...context, session }, operation, replicaRead, first?.needed))
      const place = { session, record, host }
      if (answer.type === 'done') {
        begun = { type: 'begun', place, answer }
        return undefined
      }
      if (answer.type === 'lost') this.rollback(context, place)
      return answer.type === 'failed' ? `${answer.failure}: ${answer.text}` : answer.reason
    })
    return begun ?? { type: 'failed', failure: 'busy', text: failure ?? 'not run' }
  }

  /** Ends a transaction without waiting for the answer; an owner that is not reached ends it when the link is lost. */
  rollback (context: OperationContext, place: TransactionPlace): void {
    void this.runPinned(context, place, { type: 'rollback' }, undefined)
  }

  async runPinned (context: OperationContext, place: TransactionPlace, operation: UpstreamExecuteParams['operation'], needed: UpstreamExecuteParams['needed']): Promise<RoutedResult> {
    return await this.#options.router.execute(place.record, this.#buildParams({ ...context, session: place.session }, operation, undefined, needed), place.host)
  }

  #mayUseReplica ({ entry, committedAt }: OperationContext): boolean {
    if (entry.consistency === 'primary') return false
    return entry.consistency === 'bounded-staleness' || this.#options.clock.readTime() - committedAt > REPLICATION_MS
  }

  /** Tries databases until one carries the operation out. Returns why none did. */
  async #tryDatabases (
    context: OperationContext, mayUseReplica: boolean, id: string, attempt: (record: UpstreamRecord, replicaRead: UpstreamExecuteParams['replicaRead']) => Promise<string | undefined>
  ): Promise<string | undefined> {
    const { clock, logger, leaders } = this.#options
    const { group, maxStalenessMs } = context.entry
    const excluded = new Set<string>()
    let reason: string | undefined = 'no database of the group is known'
    for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS && context.deadline - clock.readTime() > MINIMUM_LEFT_MS; attempts++) {
      const records = this.#options.listRecords(group)
      const leader = leaders.findLeader(group, records)
      const chosen = mayUseReplica ? this.#chooseForRead(records, leader, excluded) : leader
      if (chosen === undefined) {
        excluded.clear()
        await pause(RETRY_PAUSE_MS)
        continue
      }
      const replicaRead = mayUseReplica && chosen.id !== leader?.id ? { maxStalenessMs, floor: context.floor } : undefined
      const sentAt = clock.readTime()
      reason = await attempt(chosen, replicaRead)
      if (reason === undefined) {
        this.#lags.recordServed(chosen.id)
        return undefined
      }
      logger.info('attempt failed', { request: id, database: chosen.id, attempt: attempts + 1, reason, tookMs: Math.round(clock.readTime() - sentAt) })
      excluded.add(chosen.id)
      if (reason.startsWith('lagging')) this.#lags.recordLag(chosen.id, clock.readTime())
      if (!mayUseReplica) await pause(RETRY_PAUSE_MS)
    }
    return reason
  }

  #chooseForRead (records: readonly UpstreamRecord[], leader: UpstreamRecord | undefined, excluded: ReadonlySet<string>): UpstreamRecord | undefined {
    const candidates = records.filter(({ id }) => !excluded.has(id)).map((record) => ({
      id: record.id, record, isLeader: record.id === leader?.id, isLeaving: record.isLeaving, isBehind: this.#lags.isBehind(record.id, this.#options.clock.readTime()), ...this.#options.router.estimateWait(record)
    }))
    return chooseReadUpstream(candidates)?.record
  }

  #buildParams (
    { session, organisation, values, deadline, entry }: OperationContext, operation: UpstreamExecuteParams['operation'],
    replicaRead: UpstreamExecuteParams['replicaRead'], needed: UpstreamExecuteParams['needed']
  ): OwnedOperation {
    const timeLeftMs = Math.max(1, deadline - this.#options.clock.readTime())
    return { session, organisation, operation, values, needed, replicaRead, timeLeftMs, priority: entry.priority }
  }
}
