import type { ClaimTakeoverPolicy } from '@tanagerusher/coordination/failover/claim-takeover-policy'
import { isClaimOutdated } from '@tanagerusher/coordination/failover/is-claim-outdated'
import type { InFlightPromotionCalls } from '@tanagerusher/coordination/failover/in-flight-promotion-calls'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { fleetObjects } from '@tanagerusher/coordination/membership/fleet-objects'
import { parseFleetObjects } from '@tanagerusher/coordination/membership/parse-fleet-objects'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import { delay } from '../program/delay.js'

interface CreateOptions {
  group: string
  self: HostRecord
  store: ObjectStore
  takeoverPolicy: ClaimTakeoverPolicy
  inFlightCalls: InFlightPromotionCalls | undefined
  /** Newest claim of the group that this host received. */
  findKnownClaim: () => PromotionClaim | undefined
  clock: Clock
  logger: Logger
}

type ClaimChange = Pick<PromotionClaim, 'phase' | 'leader' | 'successor' | 'term'>

interface HeldClaim { claim: PromotionClaim, revision: number }

/**
 * Maximum number of attempts of one conditional write, which is repeated when its response is lost or is a temporary refusal. Other
 * hosts may take the claim over in the meantime.
 */
const MAXIMUM_WRITE_ATTEMPTS = 8
const RETRY_DELAY_MS = 150

/** This host's promotion claim of one group: a sequence of conditional writes that ends when another host writes the object. */
export class ClaimHolder {
  readonly #options: CreateOptions
  #held: HeldClaim | undefined
  #hosts: HostRecord[] = []
  #confirmedAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ClaimHolder {
    return new ClaimHolder(options)
  }

  /** Fencing token: the revision of this host's last write, which is unique and increases with every write, also after a restore of the store. */
  get revision (): number { return this.#held?.revision ?? 0 }
  get claim (): PromotionClaim | undefined { return this.#held?.claim }
  /** Hosts that the store listed in the last read. */
  get hosts (): readonly HostRecord[] { return this.#hosts }
  /** Time at which the last successful write was sent. */
  get confirmedAt (): number { return this.#confirmedAt }

  /**
   * Writes a claim and returns the one that it replaces. Returns undefined when another host holds the claim, when `leader` has
   * already been replaced (logged), or when the store is unreachable (logged). The new claim keeps the leader and term of the
   * previous one, in case it ends without a promotion.
   */
  async acquire (leader: string | undefined): Promise<{ previous: PromotionClaim | undefined } | undefined> {
    const { takeoverPolicy, group, inFlightCalls, findKnownClaim, clock, logger } = this.#options
    const stored = await this.#read()
    const known = findKnownClaim()
    // A restore of the store may have lost the newest claim.
    const previous = known !== undefined && isClaimOutdated(stored?.claim, known) ? known : stored?.claim
    if (stored !== undefined && previous !== undefined) inFlightCalls?.recordClaim(group, previous, stored.revision, clock.readTime())
    if (stored === undefined || !takeoverPolicy.isClaimable(group, previous, stored.revision, clock.readTime())) return undefined
    this.#held = previous === undefined ? undefined : { claim: previous, revision: stored.revision }
    if (previous?.phase === 'ended' && previous.leader !== undefined && leader !== undefined && previous.leader !== leader) {
      logger.info('another database leads by now', { group, leader, appointed: previous.leader, term: previous.term })
      return undefined
    }
    const change: ClaimChange = previous?.phase === 'called' ? previous : { phase: 'claimed', leader: previous?.leader, term: previous?.term }
    return await this.#write(change, stored.revision, previous?.sequence ?? 0) ? { previous } : undefined
  }

  /** Returns false when another host has taken the claim over, or the store is unreachable. */
  async write (change: ClaimChange): Promise<boolean> {
    return this.#held !== undefined && await this.#write(change, this.#held.revision, this.#held.claim.sequence)
  }

  /** Reads the hosts that may hold a primary lease. Returns false when the store is unreachable. */
  async loadHosts (): Promise<boolean> {
    for (let tries = 0; tries < MAXIMUM_WRITE_ATTEMPTS; tries++) {
      if (await this.#read() !== undefined) return true
      await delay(RETRY_DELAY_MS)
    }
    return false
  }

  /** Reads the hosts and the claim in the store, with its revision, or 0 when there is none. */
  async #read (): Promise<{ claim: PromotionClaim | undefined, revision: number } | undefined> {
    const { store, group, logger } = this.#options
    const list = await store.list(fleetObjects.kind)
    if (list.type !== 'ok') {
      logger.warn('promotion cannot be claimed', { group, ...list })
      return undefined
    }
    const { hosts, claims } = parseFleetObjects(list.value.objects)
    this.#hosts = hosts.map(({ record }) => record)
    const object = list.value.objects.find(({ name }) => name === fleetObjects.formatGroupName(group))
    return { claim: claims.find((claim) => claim.group === group)?.claim, revision: object?.revision ?? 0 }
  }

  async #write ({ phase, leader, successor, term }: ClaimChange, revision: number, sequence: number): Promise<boolean> {
    const { group, self, clock, logger } = this.#options
    const claim: PromotionClaim = { host: self.host, incarnation: self.incarnation, sequence: sequence + 1, phase, leader, successor, term }
    for (let tries = 0; tries < MAXIMUM_WRITE_ATTEMPTS; tries++) {
      const sentAt = clock.readTime()
      const result = await this.#send(claim, revision)
      if (result.type === 'ok') return this.#recordWritten(claim, result.value.revision, sentAt)
      logger.info('claim was not written', { group, phase, tries: tries + 1, ...result })
      // A write without a response may have taken effect, as may one of an earlier attempt, so the stored claim decides.
      const stored = await this.#read()
      const isWritten = stored?.claim?.incarnation === self.incarnation && stored.claim.sequence === claim.sequence
      // After a restore the condition may have held for another claim than the one that was read.
      if (isWritten && (revision === 0 || orderedRevision.readEra(stored.revision) === orderedRevision.readEra(revision))) return this.#recordWritten(claim, stored.revision, sentAt)
      if (stored !== undefined && stored.revision !== revision) return false
      await delay(RETRY_DELAY_MS)
    }
    return false
  }

  #recordWritten (claim: PromotionClaim, revision: number, sentAt: number): true {
    this.#held = { claim, revision }
    this.#options.inFlightCalls?.recordClaim(this.#options.group, claim, revision, this.#options.clock.readTime())
    this.#confirmedAt = sentAt
    return true
  }

  async #send (claim: PromotionClaim, revision: number): Promise<StoreResult<StoreObject>> {
    const { store, group } = this.#options
    const name = fleetObjects.formatGroupName(group)
    return revision === 0 ? await store.create(fleetObjects.kind, name, claim) : await store.replace(fleetObjects.kind, name, claim, revision)
  }
}
