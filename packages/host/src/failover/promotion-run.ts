import { CallPermit } from '@tanagerusher/coordination/failover/call-permit'
import { chooseSuccessor } from '@tanagerusher/coordination/failover/choose-successor'
import type { LateCalls } from '@tanagerusher/coordination/failover/late-calls'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { Logger } from 'winston'
import { pause } from '../program/pause.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'
import type { ClaimHolder } from './claim-holder.js'
import type { ReleaseCollector } from './release-collector.js'

interface CreateOptions {
  group: string
  /** Primary that is replaced; undefined when none is known. */
  leader: UpstreamRecord | undefined
  /** The primary still leads and is to hand over without losing a commit. */
  isPlanned: boolean
  candidates: readonly UpstreamRecord[]
  syncReplicas: number
  self: HostRecord
  adapter: PlatformAdapter
  registry: OwnerRegistry
  holder: ClaimHolder
  releases: ReleaseCollector
  /** Absent where the platform compares tokens. */
  lateCalls: LateCalls | undefined
  countSuspensions: () => number
  clock: Clock
  logger: Logger
}

type Outcome = { type: 'promoted', id: string, term: number } | { type: 'given-up', reason: string }

const PROMOTE_TIMEOUT_MS = 3000
const PROMOTE_TRIES = 3
/** A planned hand-over waits this long for a replica to hold everything. */
const CATCH_UP_MS = 600
const CATCH_UP_STEP_MS = 25
/** Time for work under way and open transactions before a planned change; less than a statement's limit, since new work waits. */
const PLANNED_QUIESCE_MS = 400
/** The endpoint may answer before the database leads. */
const LEAD_MS = 3000
const LEAD_STEP_MS = 20
const RENEW_MS = 1200
const STEP_DOWN_TRIES = 5
const STEP_DOWN_PAUSE_MS = 500

/**
 * One promotion: claim, wait for the rights of all hosts to end, ask the replicas, choose, confirm the claim, promote. An outdated
 * holder finds out by its next conditional write; the endpoint may not compare tokens.
 */
export class PromotionRun {
  readonly #options: CreateOptions
  readonly #permit = CallPermit.create()
  /** A call without an answer may be carried out later, so the claim cannot end before the successor leads. */
  #isCallOpen = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PromotionRun {
    return new PromotionRun(options)
  }

  async run (): Promise<Outcome> {
    const { logger, group, leader, isPlanned, holder, clock } = this.#options
    if (isPlanned && leader !== undefined && !await this.#isFollowed(leader)) return { type: 'given-up', reason: 'no replica follows the primary' }
    const acquired = await holder.acquire(leader?.id)
    const claimedAt = clock.readTime()
    if (acquired === undefined) return { type: 'given-up', reason: 'another host promotes, or the store is not reached' }
    logger.info('promotion starts', { group, leader: leader?.id, isPlanned, fencingToken: holder.revision })
    const owner = leader === undefined || !isPlanned ? undefined : this.#options.registry.find(leader)
    owner?.pauseWrites()
    try {
      const outcome = await this.#collectAndPromote(acquired.before, claimedAt)
      logger.info('promotion ended', { group, fencingToken: holder.revision, tookMs: Math.round(clock.readTime() - claimedAt), ...outcome })
      await this.#end(outcome, acquired.before)
      return outcome
    } finally {
      owner?.resumeWrites()
    }
  }

  async #collectAndPromote (before: PromotionClaim | undefined, claimedAt: number): Promise<Outcome> {
    const { holder, releases, isPlanned } = this.#options
    if (before?.phase === 'claimed' && before.incarnation !== this.#options.self.incarnation) return { type: 'given-up', reason: 'its holder is gone and had not called the endpoint' }
    const claim = holder.claim
    if (claim === undefined || !await holder.listHosts()) return { type: 'given-up', reason: 'the hosts cannot be listed' }
    const isClear = await releases.collect({
      claim,
      revision: holder.revision,
      hosts: holder.hosts,
      claimedAt,
      quiesceMs: isPlanned ? PLANNED_QUIESCE_MS : 0,
      renew: async () => await holder.write(claim)
    })
    if (!isClear) return { type: 'given-up', reason: 'the claim was taken over' }
    return await this.#promoteBest()
  }

  async #promoteBest (): Promise<Outcome> {
    const { candidates, syncReplicas, leader, isPlanned, lateCalls, group, clock } = this.#options
    const answered = await this.#askReplicas(candidates)
    const called = lateCalls?.findTarget(group, clock.readTime())
    const successor = chooseSuccessor({ candidates: called === undefined ? answered : answered.filter(({ id }) => id === called), syncReplicas, leaderDataCentre: leader?.dataCentre })
    if (successor.type === 'none') return { type: 'given-up', reason: called === undefined ? successor.reason : `${called} does not answer, and a call for it may still be carried out` }
    const { record } = successor.candidate
    if (isPlanned && leader !== undefined && !await this.#waitForReplica(leader, record)) return { type: 'given-up', reason: `${record.id} does not catch up` }
    return await this.#promote(record)
  }

  async #askReplicas (records: readonly UpstreamRecord[]): Promise<Array<{ id: string, dataCentre: string, record: UpstreamRecord, status: UpstreamStatus | undefined }>> {
    const { syncReplicas, isPlanned } = this.#options
    const statuses = await Promise.all(records.map(async (record) => await this.#ask(record, { type: 'status' })))
    // Where replicas acknowledge commits, none may be acknowledged behind the choice: they stop receiving first.
    if (syncReplicas > 0 && !isPlanned) {
      const term = Math.max(0, ...statuses.map((status) => status?.term ?? 0)) + 1
      for (const [index, record] of records.entries()) statuses[index] = await this.#ask(record, { type: 'pause', term })
    }
    return records.map((record, index) => ({ id: record.id, dataCentre: record.dataCentre, record, status: statuses[index] }))
  }

  async #ask (record: UpstreamRecord, command: UpstreamCommand): Promise<UpstreamStatus | undefined> {
    const { registry, adapter } = this.#options
    const answer = await registry.find(record).runControl(command)
    return answer.type === 'done' ? adapter.decodeUpstreamStatus(answer.rows) : undefined
  }

  /** Whether a replica will catch up; found out while the primary still serves, since a claim stops all work for it. */
  async #isFollowed (leader: UpstreamRecord): Promise<boolean> {
    const waits = this.#options.candidates.map(async (replica) => await this.#waitForReplica(leader, replica))
    return (await Promise.all(waits)).includes(true)
  }

  /** Waits until the replica has received all that the primary had at the first look. */
  async #waitForReplica (leader: UpstreamRecord, replica: UpstreamRecord): Promise<boolean> {
    const { clock } = this.#options
    const deadline = clock.readTime() + CATCH_UP_MS
    let wanted: UpstreamStatus | undefined
    while (clock.readTime() < deadline) {
      const [own, received] = await Promise.all([wanted ?? this.#ask(leader, { type: 'status' }), this.#ask(replica, { type: 'status' })])
      wanted = own
      if (own !== undefined && received !== undefined && received.position.position >= own.position.position) return true
      await pause(CATCH_UP_STEP_MS)
    }
    return false
  }

  async #promote (record: UpstreamRecord): Promise<Outcome> {
    const { adapter, group, self, holder, clock, logger, countSuspensions } = this.#options
    const { id } = record
    for (let tries = 0; tries < PROMOTE_TRIES; tries++) {
      const suspensions = countSuspensions()
      if (!await holder.write({ phase: 'called', leader: holder.claim?.leader, term: holder.claim?.term, successor: id })) return { type: 'given-up', reason: 'the claim could not be confirmed' }
      this.#permit.recordConfirmed(holder.confirmedAt)
      // A suspension shows only now, and a confirmation from before it says nothing.
      if (countSuspensions() !== suspensions || !this.#permit.isValid(clock.readTime())) continue
      const fencingToken = holder.revision
      const answer = await this.#renewDuring(adapter.promoter.promote({ group, id, host: self.host, fencingToken }, PROMOTE_TIMEOUT_MS))
      this.#isCallOpen ||= answer.type === 'no-answer'
      if (answer.type === 'promoted') return await this.#renewDuring(this.#waitForLead(record))
      logger.warn('promotion was not confirmed', { group, database: id, fencingToken, ...answer })
      if (answer.type === 'refused') return { type: 'given-up', reason: answer.reason }
    }
    return { type: 'given-up', reason: 'the promotion endpoint does not answer' }
  }

  /** Others take over a claim that is not touched for 3 s, and would call the endpoint as well. */
  async #renewDuring<Result> (work: Promise<Result>): Promise<Result> {
    const { holder } = this.#options
    let isDone = false
    const ended = work.finally(() => { isDone = true })
    for (;;) {
      await Promise.race([ended, pause(RENEW_MS)])
      if (isDone) return await ended
      if (holder.claim !== undefined) await holder.write(holder.claim)
    }
  }

  async #waitForLead (record: UpstreamRecord): Promise<Outcome> {
    const { clock } = this.#options
    const deadline = clock.readTime() + LEAD_MS
    while (clock.readTime() < deadline) {
      const status = await this.#ask(record, { type: 'status' })
      if (status?.isPrimary === true) return { type: 'promoted', id: record.id, term: status.term }
      await pause(LEAD_STEP_MS)
    }
    this.#isCallOpen = true
    return { type: 'given-up', reason: `${record.id} was promoted and does not lead` }
  }

  /** Without a successor that leads, the claim ends with the primary before, unless the endpoint may still act on a call. */
  async #end (outcome: Outcome, before: PromotionClaim | undefined): Promise<void> {
    const { holder, releases, group, logger } = this.#options
    const wasCalled = this.#isCallOpen || before?.phase === 'called'
    if (outcome.type === 'given-up' && wasCalled) return
    const ended = outcome.type === 'promoted'
      ? { phase: 'ended' as const, leader: outcome.id, term: outcome.term, successor: this.#isCallOpen ? outcome.id : undefined }
      : { phase: 'ended' as const, leader: before?.leader, term: before?.term }
    if (!await holder.write(ended) || holder.claim === undefined) {
      logger.warn('end of the promotion was not written', { group })
      return
    }
    releases.announce(holder.claim, holder.revision)
    if (outcome.type === 'promoted') void this.#stepDown(outcome.term)
  }

  /** A primary that goes on would cost every host that reaches it a refused statement. */
  async #stepDown (term: number): Promise<void> {
    const { leader, logger, group } = this.#options
    if (leader === undefined) return
    for (let tries = 0; tries < STEP_DOWN_TRIES; tries++) {
      const status = await this.#ask(leader, { type: 'step-down', term })
      if (status !== undefined) {
        logger.info('old primary steps down', { group, database: leader.id, term, isPrimary: status.isPrimary })
        return
      }
      await pause(STEP_DOWN_PAUSE_MS)
    }
  }
}
