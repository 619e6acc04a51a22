import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { PositionWatch } from '@tanagerusher/coordination/session/position-watch'
import { leaderPosition } from '@tanagerusher/protocol/peer/leader-position'
import type { Position } from '@tanagerusher/state/position/position'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { PeerLinks } from '../peer/peer-links.js'
import type { OwnerRegistry } from './owner-registry.js'
import type { OwnerRouter } from './owner-router.js'
import { pause } from '../program/pause.js'

interface CreateOptions {
  group: string
  self: string
  clock: Clock
  leaders: LeaderView
  links: PeerLinks
  registry: OwnerRegistry
  router: OwnerRouter
  listRecords: (group: string) => UpstreamRecord[]
}

/** A position is asked for again after this time, while reads need it. Several fit into the shortest staleness bound. */
const POLL_MS = 350
/** Reads stopped for so long: nobody needs positions. */
const UNUSED_MS = 3000
const REQUEST_TIMEOUT_MS = 800
/** The owner of the primary proves a position anew when its newest is older. */
const REPROVE_MS = 120

/** Positions of one group's primary, as far as this host's replica reads need them. */
export class GroupFreshness {
  readonly #options: CreateOptions
  readonly #watch = PositionWatch.create()
  #usedAt = -Infinity
  #isPolling = false
  #first: Promise<void> | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): GroupFreshness {
    return new GroupFreshness(options)
  }

  record (position: Position, sentAt: number): void {
    this.#watch.record(position, sentAt, sentAt)
  }

  /** After a suspension or a step of the clock. */
  clear (): void {
    this.#watch.clear(this.#options.clock.readTime())
  }

  findReadPosition (maxStalenessMs: number, floor: Position | undefined): Position | undefined {
    const now = this.#options.clock.readTime()
    this.#usedAt = now
    if (!this.#isPolling) void this.#poll()
    return this.#watch.findReadPosition(maxStalenessMs, floor, now)
  }

  /** Waits for a first position when none inside the bound is known. */
  async prepare (maxStalenessMs: number, waitMs: number): Promise<void> {
    if (this.findReadPosition(maxStalenessMs, undefined) !== undefined) return
    this.#first ??= this.#ask().finally(() => { this.#first = undefined })
    await Promise.race([this.#first, pause(waitMs)])
  }

  /** Answers another host: the newest position that this host proved as owner of the primary. */
  async readLeaderPosition (): Promise<{ position: Position | undefined, ageMs: number }> {
    const { clock } = this.#options
    const newest = this.#watch.newest
    if (newest === undefined || clock.readTime() - newest.at > REPROVE_MS) await this.#probeLeader()
    const proven = this.#watch.newest
    return { position: proven?.position, ageMs: proven === undefined ? 0 : clock.readTime() - proven.at }
  }

  async #poll (): Promise<void> {
    this.#isPolling = true
    while (this.#options.clock.readTime() - this.#usedAt < UNUSED_MS) {
      await this.#ask()
      await pause(POLL_MS)
    }
    this.#isPolling = false
  }

  async #ask (): Promise<void> {
    const { group, self, clock, leaders, links, router, listRecords } = this.#options
    const leader = leaders.findLeader(group, listRecords(group))
    if (leader === undefined) return
    const [owner] = router.listCandidates(leader).filter((candidate) => candidate.host === self || links.find(candidate).readDownMs() === 0)
    if (owner === undefined || owner.host === self) {
      await this.#probeLeader()
      return
    }
    const link = links.find(owner)
    if (!await link.prepare()) return
    const sentAt = clock.readTime()
    try {
      const { position, ageMs } = await link.request(leaderPosition, { databaseId: leader.id }, REQUEST_TIMEOUT_MS)
      if (position !== undefined) this.#watch.record(position, sentAt - ageMs, sentAt)
    } catch {
      // The link logs its own loss; without a position reads go to the primary.
    }
  }

  async #probeLeader (): Promise<void> {
    const { group, leaders, registry, listRecords } = this.#options
    const leader = leaders.findLeader(group, listRecords(group))
    if (leader !== undefined) await registry.find(leader).probe()
  }
}
