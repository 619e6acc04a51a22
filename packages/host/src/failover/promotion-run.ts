import { CallPermit } from '@tanagerusher/coordination/failover/call-permit'
import { chooseSuccessor } from '@tanagerusher/coordination/failover/choose-successor'
import type { InFlightPromotionCalls } from '@tanagerusher/coordination/failover/in-flight-promotion-calls'
import type { CommitHolder } from '@tanagerusher/coordination/failover/commit-holder'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { Logger } from 'winston'
import { delay } from '../program/delay.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'
import type { ClaimHolder } from './claim-holder.js'
import type { LeaseReleaseCollector } from './lease-release-collector.js'

interface CreateOptions {
  group: string
  /** Primary to replace; undefined when none is known. */
  leader: UpstreamRecord | undefined
  /** The primary still leads and must hand over without losing a commit. */
  isPlanned: boolean
  /** Only lets replicas receive again that a lost claim holder may have paused, because the primary responds. */
  isResumeOnly: boolean
  candidates: readonly UpstreamRecord[]
  /** Further databases whose positions decide where replicas acknowledge commits and the primary does not respond. */
  holders: readonly CommitHolder[]
  syncReplicas: number
  isCold: (record: UpstreamRecord) => boolean
  self: HostRecord
  adapter: PlatformAdapter
  registry: OwnerRegistry
  claimHolder: ClaimHolder
  releaseCollector: LeaseReleaseCollector
  /** Absent where the platform compares fencing tokens. */
  inFlightCalls: InFlightPromotionCalls | undefined
  countSuspensions: () => number
  clock: Clock
  logger: Logger
}

interface ReplicaState {
  id: string
  dataCentre: string
  isCold: boolean
  isLeaving: boolean
  isAwaited: boolean
  record: UpstreamRecord
  status: UpstreamStatus | undefined
}

type Outcome = { type: 'promoted', id: string, term: number } | { type: 'given-up', reason: string }

const PROMOTE_TIMEOUT_MS = 3000
const MAXIMUM_PROMOTE_ATTEMPTS = 3
/** A planned hand-over waits this long for a replica to receive all that the primary has. */
const CATCH_UP_TIMEOUT_MS = 600
const CATCH_UP_POLL_INTERVAL_MS = 25
/** Time in which work in flight and open transactions may end before a planned change. Shorter than the statement timeout, since new work waits. */
const PLANNED_QUIESCE_MS = 400
/** The endpoint may respond before the database leads. */
const LEADERSHIP_TIMEOUT_MS = 3000
const LEADERSHIP_POLL_INTERVAL_MS = 20
const RENEW_INTERVAL_MS = 1200
const MAXIMUM_STEP_DOWN_ATTEMPTS = 5
const STEP_DOWN_RETRY_DELAY_MS = 500

/**
 * One promotion: writes the claim, waits until the primary leases of all hosts have ended, reads the state of the replicas, chooses
 * the successor, confirms the claim and calls the promotion endpoint. The next conditional write of an outdated claim holder fails,
 * which must stop it, since the endpoint may not compare fencing tokens.
 */
export class PromotionRun {
  readonly #options: CreateOptions
  readonly #permit = CallPermit.create()
  /** A call without a response may take effect later, so the claim cannot end before the successor leads. */
  #isCallUnresolved = false
  /** Replicas were sent PAUSE and may receive nothing until RESUME or a promotion. */
  #arePaused = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PromotionRun {
    return new PromotionRun(options)
  }

  async run (): Promise<Outcome> {
    const { logger, group, leader, isPlanned, claimHolder, clock } = this.#options
    if (isPlanned && leader !== undefined && !await this.#isAnyReplicaCaughtUp(leader)) return { type: 'given-up', reason: 'no replica catches up with the primary' }
    const acquired = await claimHolder.acquire(leader?.id)
    const claimedAt = clock.readTime()
    if (acquired === undefined) return { type: 'given-up', reason: 'another host is promoting, or the store is unreachable' }
    logger.info('promotion starts', { group, leader: leader?.id, isPlanned, fencingToken: claimHolder.revision })
    const owner = leader === undefined || !isPlanned ? undefined : this.#options.registry.find(leader)
    owner?.pauseWrites()
    try {
      const outcome = await this.#collectAndPromote(acquired.previous, claimedAt)
      logger.info('promotion ended', { group, fencingToken: claimHolder.revision, tookMs: Math.round(clock.readTime() - claimedAt), ...outcome })
      if (outcome.type === 'given-up') await this.#resumeReplicas(acquired.previous)
      await this.#endClaim(outcome, acquired.previous)
      return outcome
    } finally {
      owner?.resumeWrites()
    }
  }

  async #collectAndPromote (previous: PromotionClaim | undefined, claimedAt: number): Promise<Outcome> {
    const { claimHolder, releaseCollector, isPlanned, isResumeOnly } = this.#options
    if (previous?.phase === 'claimed' && previous.incarnation !== this.#options.self.incarnation) return { type: 'given-up', reason: 'the previous claim holder was lost before it called the endpoint' }
    // The copy of the store from which the claim was taken for abandoned may have been old.
    if (isResumeOnly) return { type: 'given-up', reason: 'no lost claim holder can have paused the replicas' }
    const claim = claimHolder.claim
    if (claim === undefined || !await claimHolder.loadHosts()) return { type: 'given-up', reason: 'the hosts cannot be listed' }
    const areLeasesReleased = await releaseCollector.collect({
      claim,
      revision: claimHolder.revision,
      hosts: claimHolder.hosts,
      claimedAt,
      quiesceMs: isPlanned ? PLANNED_QUIESCE_MS : 0,
      renew: async () => await claimHolder.write(claim)
    })
    if (!areLeasesReleased) return { type: 'given-up', reason: 'the claim was taken over' }
    return await this.#promoteBest()
  }

  async #promoteBest (): Promise<Outcome> {
    const { candidates, holders, syncReplicas, leader, isPlanned, inFlightCalls, group, clock } = this.#options
    const replicas = await this.#readReplicaStatuses([...candidates.map((record) => ({ record, isAwaited: true })), ...holders])
    this.#logReplicas(replicas)
    const calledDatabase = inFlightCalls?.findInFlightDatabase(group, clock.readTime())
    const successor = chooseSuccessor({ candidates: calledDatabase === undefined ? replicas : replicas.filter(({ id }) => id === calledDatabase), syncReplicas, leaderDataCentre: leader?.dataCentre })
    if (successor.type === 'none') return { type: 'given-up', reason: calledDatabase === undefined ? successor.reason : `${calledDatabase} does not respond, and a call for it may still take effect` }
    const { record } = successor.candidate
    if (isPlanned && leader !== undefined && !await this.#waitForReplica(leader, record)) return { type: 'given-up', reason: `${record.id} does not catch up` }
    return await this.#promote(record)
  }

  async #readReplicaStatuses (replicas: readonly CommitHolder[]): Promise<ReplicaState[]> {
    const { syncReplicas, isPlanned, isCold } = this.#options
    const records = replicas.map(({ record }) => record)
    let statuses = await Promise.all(records.map(async (record) => await this.#runCommand(record, { type: 'status' })))
    // Where replicas acknowledge commits, none may acknowledge one after its position was read, so they stop receiving first.
    if (syncReplicas > 0 && !isPlanned) {
      this.#arePaused = true
      const term = Math.max(0, ...statuses.map((status) => status?.term ?? 0)) + 1
      statuses = await Promise.all(records.map(async (record) => await this.#runCommand(record, { type: 'pause', term })))
    }
    return replicas.map(({ record, isAwaited }, index) => ({ id: record.id, dataCentre: record.dataCentre, isCold: isCold(record), isLeaving: record.isLeaving, isAwaited, record, status: statuses[index] }))
  }

  #logReplicas (replicas: readonly ReplicaState[]): void {
    const { logger, group } = this.#options
    logger.info('replicas were asked for their positions', {
      group, replicas: replicas.map(({ id, isLeaving, isAwaited, status }) => ({ id, isLeaving, isAwaited, term: status?.position.term, position: status?.position.position }))
    })
    const ignored = replicas.filter(({ status, isAwaited }) => status === undefined && !isAwaited)
    if (ignored.length > 0) logger.warn('successor is chosen without databases that may hold acknowledged commits', { group, databases: ignored.map(({ id }) => id) })
  }

  async #runCommand (record: UpstreamRecord, command: UpstreamCommand): Promise<UpstreamStatus | undefined> {
    const { registry, adapter } = this.#options
    const result = await registry.find(record).runControl(command)
    return result.type === 'done' ? adapter.decodeUpstreamStatus(result.rows) : undefined
  }

  /** Whether any replica catches up. Checked while the primary still serves, since a claim stops all work for it. */
  async #isAnyReplicaCaughtUp (leader: UpstreamRecord): Promise<boolean> {
    const waits = this.#options.candidates.map(async (replica) => await this.#waitForReplica(leader, replica))
    return (await Promise.all(waits)).includes(true)
  }

  /** Waits until the replica has received all that the primary had when its status was first read. */
  async #waitForReplica (leader: UpstreamRecord, replica: UpstreamRecord): Promise<boolean> {
    const { clock } = this.#options
    const deadline = clock.readTime() + CATCH_UP_TIMEOUT_MS
    let targetStatus: UpstreamStatus | undefined
    while (clock.readTime() < deadline) {
      const [primaryStatus, replicaStatus] = await Promise.all([targetStatus ?? this.#runCommand(leader, { type: 'status' }), this.#runCommand(replica, { type: 'status' })])
      // A database that has lost the lead also responds; its position does not show what the replica must have.
      if (primaryStatus?.isPrimary === true) targetStatus = primaryStatus
      if (targetStatus !== undefined && replicaStatus !== undefined && replicaStatus.position.position >= targetStatus.position.position) return true
      await delay(CATCH_UP_POLL_INTERVAL_MS)
    }
    return false
  }

  async #promote (record: UpstreamRecord): Promise<Outcome> {
    const { adapter, group, self, claimHolder, clock, logger, countSuspensions } = this.#options
    const { id } = record
    for (let tries = 0; tries < MAXIMUM_PROMOTE_ATTEMPTS; tries++) {
      const suspensions = countSuspensions()
      if (!await claimHolder.write({ phase: 'called', leader: claimHolder.claim?.leader, term: claimHolder.claim?.term, successor: id })) return { type: 'given-up', reason: 'the claim could not be confirmed' }
      this.#permit.recordConfirmed(claimHolder.confirmedAt)
      // The process may have been suspended during the write, and a confirmation from before a suspension is not valid any more.
      if (countSuspensions() !== suspensions || !this.#permit.isValid(clock.readTime())) continue
      const fencingToken = claimHolder.revision
      const response = await this.#renewDuring(adapter.promoter.promote({ group, id, host: self.host, fencingToken }, PROMOTE_TIMEOUT_MS))
      this.#isCallUnresolved ||= response.type === 'no-answer'
      if (response.type === 'promoted') return await this.#renewDuring(this.#waitForLeadership(record))
      logger.warn('promotion was not confirmed', { group, database: id, fencingToken, ...response })
      if (response.type === 'refused') return { type: 'given-up', reason: response.reason }
    }
    return { type: 'given-up', reason: 'the promotion endpoint does not respond' }
  }

  /** Renews the claim until `work` settles. Other hosts take over a claim not written for 3 s, and would call the endpoint too. */
  async #renewDuring<Result> (work: Promise<Result>): Promise<Result> {
    const { claimHolder } = this.#options
    let isDone = false
    const settled = work.finally(() => { isDone = true })
    for (;;) {
      await Promise.race([settled, delay(RENEW_INTERVAL_MS)])
      if (isDone) return await settled
      if (claimHolder.claim !== undefined) await claimHolder.write(claimHolder.claim)
    }
  }

  async #waitForLeadership (record: UpstreamRecord): Promise<Outcome> {
    const { clock } = this.#options
    const deadline = clock.readTime() + LEADERSHIP_TIMEOUT_MS
    while (clock.readTime() < deadline) {
      const status = await this.#runCommand(record, { type: 'status' })
      if (status?.isPrimary === true) return { type: 'promoted', id: record.id, term: status.term }
      await delay(LEADERSHIP_POLL_INTERVAL_MS)
    }
    this.#isCallUnresolved = true
    return { type: 'given-up', reason: `${record.id} was promoted but does not lead` }
  }

  /**
   * Lets the replicas receive again after a promotion that this host, or a lost claim holder before it, gave up. Without them no commit is
   * acknowledged. A promotion that may still take effect does the same, and a host that has taken the claim over needs its own PAUSE.
   */
  async #resumeReplicas (previous: PromotionClaim | undefined): Promise<void> {
    const { syncReplicas, candidates, holders, claimHolder, group, logger } = this.#options
    const mayBePaused = syncReplicas > 0 && (this.#arePaused || previous?.phase === 'claimed')
    if (!mayBePaused || this.#wasCalled(previous) || claimHolder.claim === undefined) return
    if (!await claimHolder.write(claimHolder.claim)) return
    const replicas = [...candidates, ...holders.map(({ record }) => record)]
    const statuses = await Promise.all(replicas.map(async (record) => await this.#runCommand(record, { type: 'resume' })))
    logger.info('replicas receive again', { group, unresponsive: replicas.filter((_, index) => statuses[index] === undefined).map(({ id }) => id) })
  }

  #wasCalled (previous: PromotionClaim | undefined): boolean { return this.#isCallUnresolved || previous?.phase === 'called' }

  /** Without a successor that leads, the claim ends with the previous primary, unless a call of the endpoint may still take effect. */
  async #endClaim (outcome: Outcome, previous: PromotionClaim | undefined): Promise<void> {
    const { claimHolder, releaseCollector, group, logger } = this.#options
    if (outcome.type === 'given-up' && this.#wasCalled(previous)) return
    const endedClaim = outcome.type === 'promoted'
      ? { phase: 'ended' as const, leader: outcome.id, term: outcome.term, successor: this.#isCallUnresolved ? outcome.id : undefined }
      : { phase: 'ended' as const, leader: previous?.leader, term: previous?.term }
    if (!await claimHolder.write(endedClaim) || claimHolder.claim === undefined) {
      logger.warn('end of the promotion was not written', { group })
      return
    }
    releaseCollector.notifyEnd(claimHolder.claim, claimHolder.revision)
    if (outcome.type === 'promoted') void this.#stepDown(outcome.term)
  }

  /** A primary that keeps serving would cost each host that reaches it a refused statement. */
  async #stepDown (term: number): Promise<void> {
    const { leader, logger, group } = this.#options
    if (leader === undefined) return
    for (let tries = 0; tries < MAXIMUM_STEP_DOWN_ATTEMPTS; tries++) {
      const status = await this.#runCommand(leader, { type: 'step-down', term })
      if (status !== undefined) {
        logger.info('old primary steps down', { group, database: leader.id, term, isPrimary: status.isPrimary })
        return
      }
      await delay(STEP_DOWN_RETRY_DELAY_MS)
    }
  }
}
