import { chooseSuccessor } from '@tanagerusher/coordination/failover/choose-successor'
import type { ClaimQueue } from '@tanagerusher/coordination/failover/claim-queue'
import { promotionClaim, type PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import type { Logger } from 'winston'
import type { OwnerRegistry } from '../upstream/owner-registry.js'

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
  claims: ClaimQueue
  clock: Clock
  logger: Logger
}

type Outcome = { type: 'promoted', id: string } | { type: 'given-up', reason: string }

const KIND = 'tanagerusher-promotions'
const PROMOTE_TIMEOUT_MS = 3000
const PROMOTE_TRIES = 3
/** A planned hand-over waits this long for a replica to hold everything. */
const CATCH_UP_MS = 600
const CATCH_UP_STEP_MS = 25

/** One promotion: claim, ask the replicas, choose, promote. Each step may be repeated; an outdated holder is refused. */
export class PromotionRun {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PromotionRun {
    return new PromotionRun(options)
  }

  async run (): Promise<Outcome> {
    const { logger, group, leader, isPlanned } = this.#options
    const fencingToken = await this.#claim()
    if (fencingToken === undefined) return { type: 'given-up', reason: 'another host promotes, or the store is not reached' }
    logger.info('promotion starts', { group, leader: leader?.id, isPlanned, fencingToken })
    const owner = leader === undefined || !isPlanned ? undefined : this.#options.registry.find(leader)
    owner?.pauseWrites()
    try {
      const outcome = await this.#promoteBest(fencingToken)
      logger.info('promotion ended', { group, fencingToken, ...outcome })
      return outcome
    } finally {
      owner?.resumeWrites()
      void this.#writeClaim(true, fencingToken)
    }
  }

  async #claim (): Promise<number | undefined> {
    const { adapter, group, claims, clock, logger } = this.#options
    const list = await adapter.store.list(KIND)
    if (list.type !== 'ok') {
      logger.warn('promotion cannot be claimed', { group, ...list })
      return undefined
    }
    const object = list.value.objects.find(({ name }) => name === group)
    const claim = promotionClaim.safeParse(object?.value).data
    if (!claims.mayClaim(group, claim, object?.revision ?? 0, clock.readTime())) return undefined
    return await this.#writeClaim(false, object?.revision)
  }

  async #writeClaim (isEnded: boolean, revision: number | undefined): Promise<number | undefined> {
    const { adapter, group, self, logger } = this.#options
    const claim: PromotionClaim = { host: self.host, incarnation: self.incarnation, isEnded }
    const answer = revision === undefined ? await adapter.store.create(KIND, group, claim) : await adapter.store.replace(KIND, group, claim, revision)
    if (answer.type === 'ok') return answer.value.revision
    logger.info('claim was not written', { group, isEnded, ...answer })
    return undefined
  }

  async #promoteBest (fencingToken: number): Promise<Outcome> {
    const { candidates, syncReplicas, leader, isPlanned } = this.#options
    const answered = await this.#askReplicas(candidates)
    const successor = chooseSuccessor({ candidates: answered, syncReplicas, leaderDataCentre: leader?.dataCentre })
    if (successor.type === 'none') return { type: 'given-up', reason: successor.reason }
    const { record } = successor.candidate
    if (isPlanned && leader !== undefined && !await this.#waitForReplica(leader, record)) return { type: 'given-up', reason: `${record.id} does not catch up` }
    return await this.#promote(record, fencingToken)
  }

  async #askReplicas (records: readonly UpstreamRecord[]): Promise<Array<{ id: string, dataCentre: string, record: UpstreamRecord, status: UpstreamStatus | undefined }>> {
    const { syncReplicas, isPlanned } = this.#options
    const statuses = await Promise.all(records.map(async (record) => await this.#askStatus(record)))
    // Where replicas acknowledge commits, none may be acknowledged behind the choice: they stop receiving first.
    if (syncReplicas > 0 && !isPlanned) {
      const term = Math.max(0, ...statuses.map((status) => status?.term ?? 0)) + 1
      for (const [index, record] of records.entries()) statuses[index] = await this.#pause(record, term)
    }
    return records.map((record, index) => ({ id: record.id, dataCentre: record.dataCentre, record, status: statuses[index] }))
  }

  async #askStatus (record: UpstreamRecord): Promise<UpstreamStatus | undefined> {
    const { registry, adapter } = this.#options
    const answer = await registry.find(record).runControl({ type: 'status' })
    return answer.type === 'done' ? adapter.decodeUpstreamStatus(answer.rows) : undefined
  }

  async #pause (record: UpstreamRecord, term: number): Promise<UpstreamStatus | undefined> {
    const { registry, adapter } = this.#options
    const answer = await registry.find(record).runControl({ type: 'pause', term })
    return answer.type === 'done' ? adapter.decodeUpstreamStatus(answer.rows) : undefined
  }

  /** Writes have stopped; waits until the replica has received all that the primary acknowledged. */
  async #waitForReplica (leader: UpstreamRecord, replica: UpstreamRecord): Promise<boolean> {
    const { clock } = this.#options
    const deadline = clock.readTime() + CATCH_UP_MS
    while (clock.readTime() < deadline) {
      const [own, received] = await Promise.all([this.#askStatus(leader), this.#askStatus(replica)])
      if (own !== undefined && received !== undefined && received.position.position >= own.position.position) return true
      await new Promise((resolve) => setTimeout(resolve, CATCH_UP_STEP_MS))
    }
    return false
  }

  async #promote ({ id }: UpstreamRecord, fencingToken: number): Promise<Outcome> {
    const { adapter, group, self, logger } = this.#options
    for (let tries = 0; tries < PROMOTE_TRIES; tries++) {
      const answer = await adapter.promoter.promote({ group, id, host: self.host, fencingToken }, PROMOTE_TIMEOUT_MS)
      if (answer.type === 'promoted') return { type: 'promoted', id }
      logger.warn('promotion was not confirmed', { group, database: id, fencingToken, ...answer })
      if (answer.type === 'refused') return { type: 'given-up', reason: answer.reason }
    }
    return { type: 'given-up', reason: 'the promotion endpoint does not answer' }
  }
}
