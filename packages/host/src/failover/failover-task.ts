import { ClaimTakeoverPolicy } from '@tanagerusher/coordination/failover/claim-takeover-policy'
import { InFlightPromotionCalls } from '@tanagerusher/coordination/failover/in-flight-promotion-calls'
import type { PrimaryLeases } from '@tanagerusher/coordination/failover/primary-leases'
import type { CommitHolder } from '@tanagerusher/coordination/failover/commit-holder'
import { listCommitHolders } from '@tanagerusher/coordination/failover/list-commit-holders'
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
import type { ClaimHandler } from './claim-handler.js'
import { PromotionRun } from './promotion-run.js'
import { LeaseReleaseCollector } from './lease-release-collector.js'

interface CreateOptions {
  self: HostRecord
  adapter: PlatformAdapter
  leaders: LeaderView
  links: PeerLinks
  registry: OwnerRegistry
  router: OwnerRouter
  listRecords: (group: string) => UpstreamRecord[]
  /** Databases of the group that left the directory recently. */
  listDeparted: (group: string) => Array<{ record: UpstreamRecord, leftAt: number }>
  /** Whether the data centre of the database is evacuated. */
  isEvacuated: (record: UpstreamRecord) => boolean
  isCold: (record: UpstreamRecord) => boolean
  findCatalogue: () => Catalogue | undefined
  leases: PrimaryLeases
  claimHandler: ClaimHandler
  /** Time at which this host noticed that the era of the revision began by a restore of the store; undefined when it has seen none. */
  findRestoreTime: (revision: number) => number | undefined
  countSuspensions: () => number
  clock: Clock
  logger: Logger
}

const TICK_INTERVAL_MS = 200
/** Interval at a host that is neither responsible for a group nor next in its order, like most hosts of a large fleet. */
const UNINVOLVED_TICK_INTERVAL_MS = 1000
/** Number of hosts after the responsible one, in the order of a primary's owners, that are ready to take its group over. */
const STANDBY_HOSTS = 2
/** Interval at which a standby checks the owners before it; short enough that their links stay watched. */
const WATCH_INTERVAL_MS = 500
/** A primary that responded to work this recently needs no probe. */
const PROBE_IDLE_MS = 300
/** Number of hosts that probe an unresponsive primary on behalf of this one. */
const WITNESS_COUNT = 3
const WITNESS_TIMEOUT_MS = 900
/** Delay after an aborted promotion, or after a witness reached the primary. */
const RETRY_DELAY_MS = 500

/** Monitors the primaries whose connections this host owns and replaces those that no host reaches or that are leaving. */
export class FailoverTask {
  readonly #options: CreateOptions
  readonly #takeoverPolicy: ClaimTakeoverPolicy
  /** Absent where the platform compares fencing tokens and refuses an outdated call. */
  readonly #inFlightCalls: InFlightPromotionCalls | undefined
  readonly #running = new Set<string>()
  readonly #nextCheckAt = new Map<string, number>()
  readonly #watchedAt = new Map<string, number>()
  /** By group: whether this host is responsible for it or among the `STANDBY_HOSTS` next in its order. */
  readonly #isStandby = new Map<string, boolean>()
  /** By group: time since which this host has searched for a successor of an unresponsive primary. */
  readonly #searchStartedAt = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#takeoverPolicy = ClaimTakeoverPolicy.create(options.self.incarnation)
    this.#inFlightCalls = options.leases.limitMs === undefined ? undefined : InFlightPromotionCalls.create()
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
      if (this.#running.has(group) || (this.#nextCheckAt.get(group) ?? -Infinity) > clock.readTime()) continue
      this.#running.add(group)
      void this.#checkGroup(group)
        .catch((error: unknown) => { this.#options.logger.error('group was not checked', { group, reason: String((error as Error).message) }) })
        .finally(() => { this.#running.delete(group) })
    }
    this.#timer = setTimeout(() => { this.#tick() }, groups.length > 0 && !groups.some((group) => this.#isStandby.get(group) !== false) ? UNINVOLVED_TICK_INTERVAL_MS : TICK_INTERVAL_MS)
  }

  async #checkGroup (group: string): Promise<void> {
    const { leaders, listRecords, isEvacuated, registry, clock } = this.#options
    const records = listRecords(group)
    const leader = leaders.findLeader(group, records)
    if (records.length === 0) return
    if (await this.#resumePromotion(group, records)) return
    if (!this.#isResponsible(group, leader)) {
      this.#searchStartedAt.delete(group)
      return
    }
    const successors = records.filter(({ id, isLeaving }) => id !== leader?.id && !isLeaving)
    if (leader === undefined) return await this.#promote(group, undefined, successors, false)
    const owner = registry.find(leader)
    const hasResponded = (): boolean => clock.readTime() - owner.health.lastResponseAt <= PROBE_IDLE_MS
    // A planned change needs the primary, and a data centre is often evacuated because it fails.
    const isResponsive = !isEvacuated(leader) || hasResponded() || await owner.probe()
    if (leader.isLeaving && successors.length > 0 && isResponsive) return await this.#promote(group, leader, successors, true)
    if (isResponsive && !hasResponded()) await owner.probe()
    if (!owner.health.isSuspect) {
      this.#searchStartedAt.delete(group)
      if (this.#isClaimAbandoned(group)) await this.#promote(group, leader, successors, false, true)
      return
    }
    if (await this.#isReachableFromOthers(leader)) {
      this.#options.logger.info('primary is reachable from other hosts', { group, database: leader.id })
      this.#postpone(group)
      return
    }
    await this.#promote(group, leader, successors, false)
  }

  /** Takes over an abandoned promotion, which keeps all hosts from using the primary. Returns whether a promotion is in flight. */
  async #resumePromotion (group: string, records: readonly UpstreamRecord[]): Promise<boolean> {
    const { leases, clock, logger } = this.#options
    const current = leases.findClaim(group)
    if (leases.limitMs === undefined || current === undefined) return false
    this.#inFlightCalls?.recordClaim(group, current.claim, current.revision, clock.readTime())
    if (current.claim.phase === 'ended') return false
    if (this.#takeoverPolicy.isClaimable(group, current.claim, current.revision, clock.readTime()) && this.#isResponsible(group, undefined)) {
      logger.info('unfinished promotion is taken over', { group, holder: current.claim.host, phase: current.claim.phase, successor: current.claim.successor })
      // The successor that the endpoint was called for may already lead, so the primary to replace is the one in the claim.
      const replaced = records.find(({ id }) => id === current.claim.leader)
      await this.#promote(group, replaced, records.filter(({ id, isLeaving }) => id === current.claim.successor || (id !== current.claim.leader && !isLeaving)), false)
    }
    return true
  }

  /** Whether a lost host may have left the replicas paused: it had claimed the promotion of the group and called no endpoint yet. */
  #isClaimAbandoned (group: string): boolean {
    const { leases, findCatalogue, self, clock } = this.#options
    const current = leases.findClaim(group)
    if (current?.claim.phase !== 'claimed' || current.claim.incarnation === self.incarnation) return false
    return (findCatalogue()?.groups.get(group)?.syncReplicas ?? 0) > 0 && this.#takeoverPolicy.isClaimable(group, current.claim, current.revision, clock.readTime())
  }

  /** Whether this is the first reachable host in the order of the primary's owners or, without a primary, in an order of the group. */
  #isResponsible (group: string, leader: UpstreamRecord | undefined): boolean {
    const { router, links, self } = this.#options
    const order = leader === undefined ? this.#orderHosts(group) : router.listCandidates(leader)
    this.#watchOwners(group, order)
    return order.find((host) => host.host === self.host || links.find(host).readDownMs() === 0)?.host === self.host
  }

  /** Watches the links to the owners before this host in the order, to detect the loss of one while there is no traffic to it. */
  #watchOwners (group: string, order: readonly HostRecord[]): void {
    const { links, self, clock } = this.#options
    const now = clock.readTime()
    if (now - (this.#watchedAt.get(group) ?? -Infinity) < WATCH_INTERVAL_MS) return
    this.#watchedAt.set(group, now)
    const reachable = order.filter((host) => host.host === self.host || links.find(host).readDownMs() === 0)
    const rank = reachable.findIndex(({ host }) => host === self.host)
    this.#isStandby.set(group, rank >= 0 && rank <= STANDBY_HOSTS)
    if (rank > 0 && rank <= STANDBY_HOSTS) for (const owner of reachable.slice(0, rank)) links.find(owner).watch()
  }

  #orderHosts (group: string): HostRecord[] {
    const { hosts } = this.#options.router
    const byName = new Map(hosts.map((host) => [host.host, host]))
    return computeRendezvousOrder(group, [...byName.keys()]).map((host) => byName.get(host) as HostRecord)
  }

  async #isReachableFromOthers (leader: UpstreamRecord): Promise<boolean> {
    const { self } = this.#options
    const others = this.#orderHosts(leader.group).filter(({ host }) => host !== self.host)
    const remote = others.filter(({ dataCentre }) => dataCentre !== self.dataCentre)
    const local = others.filter(({ dataCentre }) => dataCentre === self.dataCentre)
    const witnesses = [...remote.slice(0, WITNESS_COUNT - 1), ...local, ...remote.slice(WITNESS_COUNT - 1)].slice(0, WITNESS_COUNT)
    const results = await Promise.all(witnesses.map(async (witness) => await this.#probeFromWitness(witness, leader.id)))
    return results.includes(true)
  }

  async #probeFromWitness (witness: HostRecord, databaseId: string): Promise<boolean> {
    const link = this.#options.links.find(witness)
    if (!await link.prepare()) return false
    try {
      return (await link.request(upstreamProbe, { databaseId }, WITNESS_TIMEOUT_MS)).isReachable
    } catch (error) {
      this.#options.logger.info('witness did not respond', { witness: witness.host, reason: String((error as Error).message) })
      return false
    }
  }

  async #promote (group: string, leader: UpstreamRecord | undefined, candidates: readonly UpstreamRecord[], isPlanned: boolean, isResumeOnly = false): Promise<void> {
    const { leaders, links, registry, findCatalogue, isCold, self, adapter, leases, claimHandler, findRestoreTime, countSuspensions, clock, logger } = this.#options
    const syncReplicas = findCatalogue()?.groups.get(group)?.syncReplicas ?? 0
    const holders = isPlanned || syncReplicas === 0 ? [] : this.#listHolders(group, leader, candidates)
    if (candidates.length + holders.length === 0) return
    if (leader !== undefined && this.#inFlightCalls?.findInFlightDatabase(group, clock.readTime()) === leader.id) {
      logger.info('promotion waits', { group, leader: leader.id, reason: 'an earlier promotion call for the current leader may still take effect' })
      this.#postpone(group)
      return
    }
    const claimHolder = ClaimHolder.create({ group, self, store: adapter.store, takeoverPolicy: this.#takeoverPolicy, inFlightCalls: this.#inFlightCalls, findKnownClaim: () => leases.findClaim(group)?.claim, clock, logger })
    const releaseCollector = LeaseReleaseCollector.create({ group, self, links, limitMs: leases.limitMs, findRestoreTime, claimHandler, clock, logger })
    const outcome = await PromotionRun.create({ group, leader, isPlanned, isResumeOnly, candidates, holders, syncReplicas, isCold, self, adapter, registry, claimHolder, releaseCollector, inFlightCalls: this.#inFlightCalls, countSuspensions, clock, logger }).run()
    if (claimHolder.claim !== undefined) await claimHandler.release(group, claimHolder.claim, claimHolder.revision, 0)
    if (outcome.type === 'given-up') {
      logger.info('promotion given up', { group, reason: outcome.reason })
      this.#postpone(group)
      return
    }
    this.#searchStartedAt.delete(group)
    if (leader !== undefined && leader.id !== outcome.id) leaders.recordRefusal(leader)
    leaders.recordAppointment(group, outcome.id, outcome.term)
  }

  #listHolders (group: string, leader: UpstreamRecord | undefined, candidates: readonly UpstreamRecord[]): CommitHolder[] {
    const { listRecords, listDeparted, clock } = this.#options
    const now = clock.readTime()
    const searchStartedAt = this.#searchStartedAt.get(group) ?? now
    this.#searchStartedAt.set(group, searchStartedAt)
    return listCommitHolders({ records: listRecords(group), departed: listDeparted(group), candidates, leaderId: leader?.id, searchStartedAt, now })
  }

  #postpone (group: string): void {
    this.#nextCheckAt.set(group, this.#options.clock.readTime() + RETRY_DELAY_MS)
  }
}
