import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import { PrimaryPositionHistory } from '@tanagerusher/coordination/session/primary-position-history'
import { leaderPosition } from '@tanagerusher/protocol/peer/leader-position'
import type { Position } from '@tanagerusher/state/position/position'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { PeerLinks } from '../peer/peer-links.js'
import type { OwnerRegistry } from './owner-registry.js'
import type { OwnerRouter } from './owner-router.js'
import { delay } from '../program/delay.js'

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

/** Interval of position requests while reads need them. Several intervals fit into the shortest staleness bound. */
const POLL_INTERVAL_MS = 350
/** Polling stops when no read has needed a position for this time. */
const POLL_IDLE_TIMEOUT_MS = 3000
const REQUEST_TIMEOUT_MS = 800
/** The owner of the primary probes it for a newer position when the newest confirmed one is older than this. */
const RECONFIRM_AFTER_MS = 120

/** Tracks the positions of one group's primary that replica reads on this host need to keep their staleness bound. */
export class PrimaryPositionTracker {
  readonly #options: CreateOptions
  readonly #positions = PrimaryPositionHistory.create()
  #lastReadAt = -Infinity
  #isPolling = false
  #pendingRequest: Promise<void> | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PrimaryPositionTracker {
    return new PrimaryPositionTracker(options)
  }

  recordPosition (position: Position, sentAt: number): void {
    this.#positions.record(position, sentAt, sentAt)
  }

  /** Discards all positions. Called after a suspension or a clock step, which invalidates their times. */
  clear (): void {
    this.#positions.clear(this.#options.clock.readTime())
  }

  findReadPosition (maxStalenessMs: number, floor: Position | undefined): Position | undefined {
    const now = this.#options.clock.readTime()
    this.#lastReadAt = now
    if (!this.#isPolling) void this.#poll()
    return this.#positions.findReadPosition(maxStalenessMs, floor, now)
  }

  /** Requests a position when none within the bound is known, and waits for it for at most `waitMs`. */
  async waitForPosition (maxStalenessMs: number, waitMs: number): Promise<void> {
    if (this.findReadPosition(maxStalenessMs, undefined) !== undefined) return
    this.#pendingRequest ??= this.#requestPosition().finally(() => { this.#pendingRequest = undefined })
    await Promise.race([this.#pendingRequest, delay(waitMs)])
  }

  /** Returns the newest position that this host, as owner of the primary, has confirmed; other hosts request it. */
  async readLeaderPosition (): Promise<{ position: Position | undefined, ageMs: number }> {
    const { clock } = this.#options
    const newest = this.#positions.newest
    if (newest === undefined || clock.readTime() - newest.confirmedAt > RECONFIRM_AFTER_MS) await this.#probeLeader()
    const confirmed = this.#positions.newest
    return { position: confirmed?.position, ageMs: confirmed === undefined ? 0 : clock.readTime() - confirmed.confirmedAt }
  }

  async #poll (): Promise<void> {
    this.#isPolling = true
    while (this.#options.clock.readTime() - this.#lastReadAt < POLL_IDLE_TIMEOUT_MS) {
      await this.#requestPosition()
      await delay(POLL_INTERVAL_MS)
    }
    this.#isPolling = false
  }

  async #requestPosition (): Promise<void> {
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
      if (position !== undefined) this.#positions.record(position, sentAt - ageMs, sentAt)
    } catch {
      // The link logs its loss itself; without a position, reads go to the primary.
    }
  }

  async #probeLeader (): Promise<void> {
    const { group, leaders, registry, listRecords } = this.#options
    const leader = leaders.findLeader(group, listRecords(group))
    if (leader !== undefined) await registry.find(leader).probe()
  }
}
