import type { ClaimQueue } from '@tanagerusher/coordination/failover/claim-queue'
import type { LateCalls } from '@tanagerusher/coordination/failover/late-calls'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { fleetObjects } from '@tanagerusher/coordination/membership/fleet-objects'
import { parseFleetObjects } from '@tanagerusher/coordination/membership/parse-fleet-objects'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import { pause } from '../program/pause.js'

interface CreateOptions {
  group: string
  self: HostRecord
  store: ObjectStore
  claims: ClaimQueue
  lateCalls: LateCalls | undefined
  clock: Clock
  logger: Logger
}

type Change = Pick<PromotionClaim, 'phase' | 'leader' | 'successor' | 'term'>

interface Held { claim: PromotionClaim, revision: number }

/** Tries of one conditional write whose answer is lost or refused for now; others take the claim over meanwhile. */
const WRITE_TRIES = 8
const RETRY_MS = 150

/** This host's claim of one group: a chain of conditional writes that ends when another host writes. */
export class ClaimHolder {
  readonly #options: CreateOptions
  #held: Held | undefined
  #hosts: HostRecord[] = []
  #confirmedAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ClaimHolder {
    return new ClaimHolder(options)
  }

  /** Fencing token: unique to this host and rising with every write. */
  get revision (): number { return this.#held?.revision ?? 0 }
  get claim (): PromotionClaim | undefined { return this.#held?.claim }
  /** Hosts that the store named after the last `listHosts`. */
  get hosts (): readonly HostRecord[] { return this.#hosts }
  /** When the last write that was carried out had been sent. */
  get confirmedAt (): number { return this.#confirmedAt }

  /**
   * The claim that it replaces. Undefined with a reason in the log when another host's stands, `leader` was replaced already, or
   * the store is not reached. The new claim keeps what the one before says of the leader, in case it ends without a promotion.
   */
  async acquire (leader: string | undefined): Promise<{ before: PromotionClaim | undefined } | undefined> {
    const { claims, group, lateCalls, clock, logger } = this.#options
    const known = await this.#read()
    if (known?.claim !== undefined) lateCalls?.recordClaim(group, known.claim, known.revision, clock.readTime())
    if (known === undefined || !claims.mayClaim(group, known.claim, known.revision, clock.readTime())) return undefined
    this.#held = known.claim === undefined ? undefined : { claim: known.claim, revision: known.revision }
    const before = known.claim
    if (before?.phase === 'ended' && before.leader !== undefined && leader !== undefined && before.leader !== leader) {
      logger.info('another database leads by now', { group, leader, appointed: before.leader, term: before.term })
      return undefined
    }
    const change: Change = before?.phase === 'called' ? before : { phase: 'claimed', leader: before?.leader, term: before?.term }
    return await this.#write(change, known.revision, known.claim?.sequence ?? 0) ? { before: known.claim } : undefined
  }

  /** False when the claim is another host's by now, or the store does not answer. */
  async write (change: Change): Promise<boolean> {
    return this.#held !== undefined && await this.#write(change, this.#held.revision, this.#held.claim.sequence)
  }

  /** Reads who may hold a right. False when the store does not answer. */
  async listHosts (): Promise<boolean> {
    for (let tries = 0; tries < WRITE_TRIES; tries++) {
      if (await this.#read() !== undefined) return true
      await pause(RETRY_MS)
    }
    return false
  }

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

  async #write ({ phase, leader, successor, term }: Change, revision: number, sequence: number): Promise<boolean> {
    const { group, self, clock, logger } = this.#options
    const claim: PromotionClaim = { host: self.host, incarnation: self.incarnation, sequence: sequence + 1, phase, leader, successor, term }
    for (let tries = 0; tries < WRITE_TRIES; tries++) {
      const sentAt = clock.readTime()
      const answer = await this.#send(claim, revision)
      if (answer.type === 'ok') return this.#keep(claim, answer.value.revision, sentAt)
      logger.info('claim was not written', { group, phase, tries: tries + 1, ...answer })
      // A write without an answer may have been carried out, also by a try before; what the store holds tells.
      const known = await this.#read()
      if (known?.claim?.incarnation === self.incarnation && known.claim.sequence === claim.sequence) return this.#keep(claim, known.revision, sentAt)
      if (known !== undefined && known.revision !== revision) return false
      await pause(RETRY_MS)
    }
    return false
  }

  #keep (claim: PromotionClaim, revision: number, sentAt: number): true {
    this.#held = { claim, revision }
    this.#options.lateCalls?.recordClaim(this.#options.group, claim, revision, this.#options.clock.readTime())
    this.#confirmedAt = sentAt
    return true
  }

  async #send (claim: PromotionClaim, revision: number): Promise<StoreResult<StoreObject>> {
    const { store, group } = this.#options
    const name = fleetObjects.formatGroupName(group)
    return revision === 0 ? await store.create(fleetObjects.kind, name, claim) : await store.replace(fleetObjects.kind, name, claim, revision)
  }
}
