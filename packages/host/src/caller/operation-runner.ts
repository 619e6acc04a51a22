import type { TransactionLocation } from './transaction-location.js'
import type { SingleStatement } from './single-statement.js'
import type { OperationContext } from './operation-context.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { decideStatementOutcome, type StatementDecision } from '@tanagerusher/coordination/outcome/decide-statement-outcome'
import { computePermittedRegions } from '@tanagerusher/coordination/placement/compute-permitted-regions'
import { chooseDatabase } from '@tanagerusher/coordination/placement/choose-database'
import type { DatabaseLoad } from '@tanagerusher/coordination/placement/database-load'
import { LagTracker } from '@tanagerusher/coordination/placement/lag-tracker'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { Logger } from 'winston'
import type { UnroutedOperation, OwnerRouter } from '../upstream/owner-router.js'
import type { RoutedResult } from '../upstream/routed-result.js'
import { delay } from '../program/delay.js'

export type FinalResponse = Extract<StatementDecision, { type: 'answer' }>['answer']

/** `answer` is the response to the first statement, if the transaction was opened with one. */
export type BeginResult =
  | { type: 'begun', location: TransactionLocation, answer: Extract<StatementResponse, { type: 'done' }> }
  | { type: 'failed', failure: StatementFailure, text: string }

interface CreateOptions {
  router: OwnerRouter
  leaders: LeaderView
  listRecords: (group: string) => UpstreamRecord[]
  findCatalogue: () => Catalogue | undefined
  /** Region of each data centre. */
  regions: ReadonlyMap<string, string>
  /** Whether reads use the database only when no other one can serve them. */
  isAvoided: (record: UpstreamRecord) => boolean
  clock: Clock
  /** Seeded generator for the choice between databases that are expected to be equally fast. */
  random: RandomGenerator
  logger: Logger
}

/** Where one attempt of an operation runs. */
interface Attempt {
  record: UpstreamRecord
  replicaRead: UpstreamExecuteParams['replicaRead']
  permittedRegions: ReadonlySet<string> | undefined
  catalogueVersion: number | undefined
}

const MAXIMUM_ATTEMPTS = 6
/** Typical replication lag. A session reads from the primary while its last commit is more recent than this. */
const REPLICATION_LAG_MS = 150
const RETRY_DELAY_MS = 40
/** With less time left, a statement cannot complete before its deadline. */
const MINIMUM_TIME_LEFT_MS = 20

/** Chooses a database for each operation of a caller, and retries on another one when the operation has not run. */
export class OperationRunner {
  readonly #options: CreateOptions

  readonly #lags = LagTracker.create()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): OperationRunner {
    return new OperationRunner(options)
  }

  async runSingle (context: OperationContext, { id, text, access, needed }: SingleStatement): Promise<FinalResponse> {
    const operation: UpstreamExecuteParams['operation'] = { type: 'run', id, text, access, transaction: 'none', isReadOnly: false }
    const isReplicaAllowed = access === 'read' && context.entry.consistency !== 'primary'
    let answer: FinalResponse | undefined
    const failure = await this.#runOnAnyDatabase(context, isReplicaAllowed, id, async (attempt) => {
      const { result } = await this.#execute(context, operation, attempt, needed)
      const decision = decideStatementOutcome(result, access)
      if (decision.type === 'retry') return decision.reason
      answer = decision.answer
      return undefined
    })
    return answer ?? { type: 'failed', failure: 'busy', text: failure ?? 'not run', position: undefined }
  }

  /**
   * Opens a transaction, together with its first statement if there is one. A read-only transaction may be opened on a replica.
   * Nothing is committed before COMMIT is sent, so all of this may be retried on another database.
   */
  async begin (context: OperationContext, isReadOnly: boolean, first: SingleStatement | undefined): Promise<BeginResult> {
    const isReplicaAllowed = isReadOnly && context.entry.consistency !== 'primary'
    const operation: UpstreamExecuteParams['operation'] = first === undefined
      ? { type: 'begin', isReadOnly }
      : { type: 'run', id: first.id, text: first.text, access: first.access, transaction: 'opens', isReadOnly }
    let begun: Extract<BeginResult, { type: 'begun' }> | undefined
    let attempts = 0
    const failure = await this.#runOnAnyDatabase(context, isReplicaAllowed, first?.id ?? context.session, async (attempt) => {
      const session = `${context.session}.${++attempts}`
      const { result: { answer }, host } = await this.#execute({ ...context, session }, operation, attempt, first?.needed)
      const location = { session, record: attempt.record, host }
      if (answer.type === 'done') {
        begun = { type: 'begun', location, answer }
        return undefined
      }
      if (answer.type === 'lost') this.rollback(context, location)
      return answer.type === 'failed' ? `${answer.failure}: ${answer.text}` : answer.reason
    })
    return begun ?? { type: 'failed', failure: 'busy', text: failure ?? 'not run' }
  }

  /** Rolls a transaction back without waiting for the response. An unreachable owner aborts it when the link is lost. */
  rollback (context: OperationContext, location: TransactionLocation): void {
    void this.runPinned(context, location, { type: 'rollback' }, undefined)
  }

  async runPinned (context: OperationContext, location: TransactionLocation, operation: UpstreamExecuteParams['operation'], needed: UpstreamExecuteParams['needed']): Promise<RoutedResult> {
    return await this.#options.router.execute(location.record, this.#buildParams({ ...context, session: location.session }, operation, undefined, needed), { host: location.host })
  }

  /** Inputs of the choice of a database for a read. */
  estimateLoad (record: UpstreamRecord, permittedRegions: ReadonlySet<string> | undefined, priority: number): DatabaseLoad {
    const { router, clock, isAvoided } = this.#options
    return { ...router.estimateResponse(record, priority, permittedRegions), isBehind: this.#lags.isBehind(record.id, clock.readTime()), isAvoided: isAvoided(record) }
  }

  async #execute (
    context: OperationContext, operation: UpstreamExecuteParams['operation'], { record, replicaRead, permittedRegions, catalogueVersion }: Attempt, needed: UpstreamExecuteParams['needed']
  ): Promise<RoutedResult> {
    const params = { ...this.#buildParams(context, operation, replicaRead, needed), entry: context.entry.database, catalogueVersion }
    return await this.#options.router.execute(record, params, { permittedRegions })
  }

  /** Whether replicas probably have the position that the session's next read must see. */
  #isReplicaCurrent ({ entry, committedAt }: OperationContext): boolean {
    return entry.consistency === 'bounded-staleness' || this.#options.clock.readTime() - committedAt > REPLICATION_LAG_MS
  }

  /** Tries databases until one runs the operation. Returns undefined on success, otherwise the reason of the last failure. */
  async #runOnAnyDatabase (
    context: OperationContext, isReplicaAllowed: boolean, id: string, attempt: (attempt: Attempt) => Promise<string | undefined>
  ): Promise<string | undefined> {
    const { clock, logger, leaders, regions } = this.#options
    const { entry, organisation } = context
    const { group, maxStalenessMs } = entry
    const failed = new Set<string>()
    const isReplicaCurrent = isReplicaAllowed && this.#isReplicaCurrent(context)
    // While the catalogue lacks the entry or the organisation, their last known home regions apply.
    let homeRegions = { entry: entry.homeRegions, organisation: [] as readonly string[] }
    let reason: string | undefined = 'no database of the group is known'
    for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS && context.deadline - clock.readTime() > MINIMUM_TIME_LEFT_MS; attempts++) {
      const records = this.#options.listRecords(group)
      const leader = leaders.findLeader(group, records)
      const catalogue = this.#options.findCatalogue()
      homeRegions = {
        entry: catalogue?.entries.get(entry.database)?.homeRegions ?? homeRegions.entry,
        organisation: catalogue?.organisations.get(organisation)?.homeRegions ?? homeRegions.organisation
      }
      const permittedRegions = computePermittedRegions(homeRegions.entry, homeRegions.organisation)
      const estimateLoad = (record: UpstreamRecord) => this.estimateLoad(record, permittedRegions, entry.priority)
      const choice = chooseDatabase({ records, leader, isReplicaAllowed, isReplicaCurrent, permittedRegions, regions, failed, estimateLoad, random: this.#options.random })
      if (choice.type === 'refused') {
        const databases = records.map(({ id: database, dataCentre, isLeaving }) => ({ database, region: regions.get(dataCentre), isLeaving }))
        const inputs = { entry: entry.database, organisation, homeRegions, isReplicaAllowed, version: catalogue?.version, leader: leader?.id, databases }
        logger.info('refused because of its home regions', { request: id, reason: choice.reason, ...inputs })
        return choice.reason
      }
      if (choice.type === 'none') {
        failed.clear()
        await delay(RETRY_DELAY_MS)
        continue
      }
      const { record: chosen, usesReplicas } = choice
      const replicaRead = usesReplicas && chosen.id !== leader?.id ? { maxStalenessMs, floor: context.floor } : undefined
      const sentAt = clock.readTime()
      reason = await attempt({ record: chosen, replicaRead, permittedRegions, catalogueVersion: catalogue?.version })
      if (reason === undefined) {
        this.#lags.recordServed(chosen.id)
        return undefined
      }
      logger.info('attempt failed', { request: id, database: chosen.id, attempt: attempts + 1, reason, tookMs: Math.round(clock.readTime() - sentAt) })
      failed.add(chosen.id)
      if (reason.startsWith('lagging')) this.#lags.recordLag(chosen.id, clock.readTime())
      if (!usesReplicas) await delay(RETRY_DELAY_MS)
    }
    return reason
  }

  #buildParams (
    { session, organisation, values, deadline, entry }: OperationContext, operation: UpstreamExecuteParams['operation'],
    replicaRead: UpstreamExecuteParams['replicaRead'], needed: UpstreamExecuteParams['needed']
  ): UnroutedOperation {
    const timeLeftMs = Math.max(1, deadline - this.#options.clock.readTime())
    return { session, organisation, operation, values, needed, replicaRead, timeLeftMs, priority: entry.priority }
  }
}
