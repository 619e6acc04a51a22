import { ClaimQueue } from '@tanagerusher/coordination/failover/claim-queue'
import { LateCalls } from '@tanagerusher/coordination/failover/late-calls'
import type { PrimaryRights } from '@tanagerusher/coordination/failover/primary-rights'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformAdapter } from '@tanagerusher/coordination/common/platform-adapter'
import { upstreamProbe } from '@tanagerusher/protocol/peer/upstream-probe'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { PeerLinks } from '../peer/peer-links.js'
import type { OwnerRegistry } from '../upstream/owner-registry.js'
import type { OwnerRouter } from '../upstream/owner-router.js'
import { ClaimHolder } from './claim-holder.js'
import type { GroupClaims } from './group-claims.js'
import { PromotionRun } from './promotion-run.js'
import { ReleaseCollector } from './release-collector.js'

interface CreateOptions {
  self: HostRecord
  adapter: PlatformAdapter
  leaders: LeaderView
  links: PeerLinks
  registry: OwnerRegistry
  router: OwnerRouter
  listRecords: (group: string) => UpstreamRecord[]
  findCatalogue: () => Catalogue | undefined
  rights: PrimaryRights
  claims: GroupClaims
  countSuspensions: () => number
  clock: Clock
  logger: Logger
}

const TICK_MS = 200
/** Most hosts of a large fleet are neither responsible for a group nor next in its order; they look this often whether they are. */
const BYSTANDER_TICK_MS = 1000
/** Hosts in the order of a primary's owners that are ready to take its group over. */
const STAND_INS = 2
/** A host that stands in asks so often whether the owners before it answer; often enough to keep their links watched. */
const WATCH_EVERY_MS = 500
/** A primary that answered work this recently needs no probe. */
const PROBE_AFTER_MS = 300
/** Hosts that are asked whether they reach a silent primary. */
const WITNESSES = 3
const WITNESS_TIMEOUT_MS = 900
/** After a promotion was given up or a witness reached the primary. */
const PAUSE_AFTER_MS = 500

/** Watches the primaries whose connections this host owns and replaces those that nobody reaches or that leave. */
export class FailoverTask {
  readonly #options: CreateOptions
  readonly #claims: ClaimQueue
  /** Absent where the platform compares tokens and refuses a late call. */
  readonly #lateCalls: LateCalls | undefined
  readonly #running = new Set<string>()
  readonly #notBefore = new Map<string, number>()
  readonly #watchedAt = new Map<string, number>()
  /** Whether this host is responsible for a group or among the next in its order. */
  readonly #standsIn = new Map<string, boolean>()
  #timer: NodeJS.Timeout | undefined
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#claims = ClaimQueue.create(options.self.incarnation)
    this.#lateCalls = options.rights.limitMs === undefined ? undefined : LateCalls.create()
  }

  static create (options: CreateOptions): FailoverTask {
    return new FailoverTask(options)
  }

  start (): void {
    this.#tick()
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
  }

  #tick (): void {
    if (this.#isClosed) return
    const { findCatalogue, clock } = this.#options
    const groups = [...findCatalogue()?.groups.keys() ?? []]
    for (const group of groups) {
      if (this.#running.has(group) || (this.#notBefore.get(group) ?? -Infinity) > clock.readTime()) continue
      this.#running.add(group)
      void this.#checkGroup(group).finally(() => { this.#running.delete(group) })
    }
    this.#timer = setTimeout(() => { this.#tick() }, groups.length > 0 && !groups.some((group) => this.#standsIn.get(group) !== false) ? BYSTANDER_TICK_MS : TICK_MS)
  }

  async #checkGroup (group: string): Promise<void> {
    const { leaders, listRecords, registry, clock } = this.#options
    const records = listRecords(group)
    const leader = leaders.findLeader(group, records)
    if (records.length === 0) return
    if (await this.#resumePromotion(group, records)) return
    if (!this.#isResponsible(group, leader)) return
    const successors = records.filter(({ id, isLeaving }) => id !== leader?.id && !isLeaving)
    if (leader === undefined) return await this.#promote(group, undefined, successors, false)
    if (leader.isLeaving && successors.length > 0) return await this.#promote(group, leader, successors, true)
    const owner = registry.find(leader)
    if (clock.readTime() - owner.health.answeredAt > PROBE_AFTER_MS) await owner.probe()
    if (!owner.health.isSuspect) return
    if (await this.#isReachedByOthers(leader)) {
      this.#options.logger.info('primary is reached by others', { group, database: leader.id })
      this.#postpone(group)
      return
    }
    await this.#promote(group, leader, successors, false)
  }

  /** A promotion that its holder has left unfinished withholds the primary from all hosts. True when one is under way. */
  async #resumePromotion (group: string, records: readonly UpstreamRecord[]): Promise<boolean> {
    const { rights, clock, logger } = this.#options
    const known = rights.findClaim(group)
    if (rights.limitMs === undefined || known === undefined) return false
    this.#lateCalls?.recordClaim(group, known.claim, known.revision, clock.readTime())
    if (known.claim.phase === 'ended') return false
    if (this.#claims.mayClaim(group, known.claim, known.revision, clock.readTime()) && this.#isResponsible(group, undefined)) {
      logger.info('unfinished promotion is taken over', { group, holder: known.claim.host, phase: known.claim.phase, successor: known.claim.successor })
      // The successor that was called may lead by now, so the primary that is replaced is the one in the claim.
      const replaced = records.find(({ id }) => id === known.claim.leader)
      await this.#promote(group, replaced, records.filter(({ id, isLeaving }) => id === known.claim.successor || (id !== known.claim.leader && !isLeaving)), false)
    }
    return true
  }

  /** The first host in the order of owners that answers; without a primary, the first in an order of the group. */
  #isResponsible (group: string, leader: UpstreamRecord | undefined): boolean {
    const { router, links, self } = this.#options
    const order = leader === undefined ? this.#orderHosts(group) : router.listCandidates(leader)
    this.#watchOwners(group, order)
    return order.find((host) => host.host === self.host || links.find(host).readDownMs() === 0)?.host === self.host
  }

  /** An owner that is lost without a word is found by the hosts that come next in the order, also without traffic to it. */
  #watchOwners (group: string, order: readonly HostRecord[]): void {
    const { links, self, clock } = this.#options
    const now = clock.readTime()
    if (now - (this.#watchedAt.get(group) ?? -Infinity) < WATCH_EVERY_MS) return
    this.#watchedAt.set(group, now)
    const answering = order.filter((host) => host.host === self.host || links.find(host).readDownMs() === 0)
    const rank = answering.findIndex(({ host }) => host === self.host)
    this.#standsIn.set(group, rank >= 0 && rank <= STAND_INS)
    if (rank > 0 && rank <= STAND_INS) for (const owner of answering.slice(0, rank)) links.find(owner).watch()
  }

  #orderHosts (group: string): HostRecord[] {
    const { hosts } = this.#options.router
    const byName = new Map(hosts.map((host) => [host.host, host]))
    return computeRendezvousOrder(group, [...byName.keys()]).map((host) => byName.get(host) as HostRecord)
  }

  async #isReachedByOthers (leader: UpstreamRecord): Promise<boolean> {
    const { self } = this.#options
    const others = this.#orderHosts(leader.group).filter(({ host }) => host !== self.host)
    const far = others.filter(({ dataCentre }) => dataCentre !== self.dataCentre)
    const near = others.filter(({ dataCentre }) => dataCentre === self.dataCentre)
    const witnesses = [...far.slice(0, WITNESSES - 1), ...near, ...far.slice(WITNESSES - 1)].slice(0, WITNESSES)
    const answers = await Promise.all(witnesses.map(async (witness) => await this.#askWitness(witness, leader.id)))
    return answers.includes(true)
  }

  async #askWitness (witness: HostRecord, databaseId: string): Promise<boolean> {
    const link = this.#options.links.find(witness)
    if (!await link.prepare()) return false
    try {
      return (await link.request(upstreamProbe, { databaseId }, WITNESS_TIMEOUT_MS)).isReachable
    } catch (error) {
      this.#options.logger.info('witness did not answer', { witness: witness.host, reason: String((error as Error).message) })
      return false
    }
  }

  async #promote (group: string, leader: UpstreamRecord | undefined, candidates: readonly UpstreamRecord[], isPlanned: boolean): Promise<void> {
    const { leaders, links, registry, findCatalogue, self, adapter, rights, claims, countSuspensions, clock, logger } = this.#options
    if (candidates.length === 0) return
    if (leader !== undefined && this.#lateCalls?.findTarget(group, clock.readTime()) === leader.id) {
      logger.info('promotion waits', { group, leader: leader.id, reason: 'a call for the present leader may still be carried out' })
      this.#postpone(group)
      return
    }
    const syncReplicas = findCatalogue()?.groups.get(group)?.syncReplicas ?? 0
    const holder = ClaimHolder.create({ group, self, store: adapter.store, claims: this.#claims, lateCalls: this.#lateCalls, clock, logger })
    const releases = ReleaseCollector.create({ group, self, links, limitMs: rights.limitMs, claims, clock, logger })
    const outcome = await PromotionRun.create({ group, leader, isPlanned, candidates, syncReplicas, self, adapter, registry, holder, releases, lateCalls: this.#lateCalls, countSuspensions, clock, logger }).run()
    if (holder.claim !== undefined) await claims.release(group, holder.claim, holder.revision, 0)
    if (outcome.type === 'given-up') {
      logger.info('promotion given up', { group, reason: outcome.reason })
      this.#postpone(group)
      return
    }
    if (leader !== undefined && leader.id !== outcome.id) leaders.recordRefusal(leader)
    leaders.recordAppointment(group, outcome.id, outcome.term)
  }

  #postpone (group: string): void {
    this.#notBefore.set(group, this.#options.clock.readTime() + PAUSE_AFTER_MS)
  }
}
