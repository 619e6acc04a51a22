import { CommitTracker, type CommitEffect } from '@tanagerusher/coordination/failover/commit-tracker'
import { GroupMonitor, type MonitorEffect } from '@tanagerusher/coordination/failover/group-monitor'
import { Promotion, type PromotionEffect, type PromotionEvent } from '@tanagerusher/coordination/failover/promotion'
import type { VirtualTime } from '../common/virtual-time.js'
import type { FakeGroup } from './fake-group.js'
import type { PromotionPermit } from './promotion-permit.js'

interface CandidateHostOptions {
  name: string
  rank: number
  seed: number
  group: FakeGroup
  time: VirtualTime
  permit: PromotionPermit
}

/** Time between two status reads. The product uses a long poll instead, which returns immediately on a change. */
const POLL_MS = 20
const TICK_MS = 20
const ACKNOWLEDGE_TIMEOUT_MS = 5000

/** Host that runs the product's GroupMonitor, Promotion and CommitTracker on the fake group. */
export class CandidateHost {
  isRunning = true
  readonly #options: CandidateHostOptions
  readonly #monitor: GroupMonitor
  readonly #promotion: Promotion
  readonly #tracker: CommitTracker
  readonly #pendingAcknowledgements = new Map<string, () => void>()

  private constructor (options: CandidateHostOptions) {
    const { group: { members }, rank, seed, time } = options
    this.#options = options
    this.#monitor = GroupMonitor.create({ members, rank, now: time.readTime() })
    this.#promotion = Promotion.create({ members, seed })
    this.#tracker = CommitTracker.create({ members })
    for (const database of members) this.#pollStatus(database)
    this.#tick()
  }

  static create (options: CandidateHostOptions): CandidateHost {
    return new CandidateHost(options)
  }

  findPrimary (): string | undefined {
    return this.#monitor.findPrimary()?.database
  }

  /**
   * Sends a write to the primary that this host has found. Calls `acknowledge` when a majority of the databases has the write,
   * or already when the primary has it if `waitForMajority` is false.
   */
  write (id: string, waitForMajority: boolean, acknowledge: () => void): void {
    const primary = this.findPrimary()
    if (primary === undefined) return
    const { group, time, name } = this.#options
    group.call(name, primary, () => group.append(primary, id), (position) => {
      if (position === undefined) return
      if (!waitForMajority) return acknowledge()
      this.#pendingAcknowledgements.set(id, acknowledge)
      const deadline = time.readTime() + ACKNOWLEDGE_TIMEOUT_MS
      this.#applyCommitEffects(this.#tracker.handle({ type: 'register', id, position, deadline }, time.readTime()))
    }, () => {})
  }

  #pollStatus (database: string): void {
    if (!this.isRunning) return
    const { group, time, name } = this.#options
    const scheduleNextPoll = (): void => { time.schedule(POLL_MS, () => { this.#pollStatus(database) }) }
    group.call(name, database, () => group.readStatus(database), (status) => {
      const now = time.readTime()
      this.#applyMonitorEffects(this.#monitor.handle({ type: 'status', status }, now))
      this.#applyCommitEffects(this.#tracker.handle({ type: 'status', status }, now))
      scheduleNextPoll()
    }, (failure) => {
      if (failure === 'refused') this.#applyMonitorEffects(this.#monitor.handle({ type: 'refused', database }, time.readTime()))
      scheduleNextPoll()
    })
  }

  #tick (): void {
    if (!this.isRunning) return
    const now = this.#options.time.readTime()
    if (!this.#promotion.isRunning) this.#applyMonitorEffects(this.#monitor.handle({ type: 'tick' }, now))
    this.#handlePromotionEvent({ type: 'tick' })
    this.#applyCommitEffects(this.#tracker.handle({ type: 'tick' }, now))
    this.#options.time.schedule(TICK_MS, () => { this.#tick() })
  }

  #applyMonitorEffects (effects: MonitorEffect[]): void {
    const { group, name, permit, time } = this.#options
    for (const effect of effects) {
      if (effect.type === 'follow') group.call(name, effect.database, () => { group.follow(effect.database, effect.term, effect.primary) }, () => {}, () => {})
      else if (permit.isPromotionAllowed()) this.#handlePromotionEvent({ type: 'start', highestTerm: this.#monitor.highestTerm })
      else this.#applyMonitorEffects(this.#monitor.handle({ type: 'promotion-ended', succeeded: false, retryAfterMs: 100 }, time.readTime()))
    }
  }

  #handlePromotionEvent (event: PromotionEvent): void {
    if (!this.isRunning) return
    for (const effect of this.#promotion.handle(event, this.#options.time.readTime())) this.#applyPromotionEffect(effect)
  }

  #applyPromotionEffect (effect: PromotionEffect): void {
    const { group, name, time } = this.#options
    if (effect.type === 'ended') {
      this.#applyMonitorEffects(this.#monitor.handle({ type: 'promotion-ended', succeeded: effect.succeeded, retryAfterMs: effect.retryAfterMs }, time.readTime()))
      return
    }
    const { database, term } = effect
    if (effect.type === 'raise-term') {
      group.call(name, database, () => group.raiseTerm(database, term), (response) => { this.#handlePromotionEvent({ type: 'raise-completed', database, term, ...response }) },
        () => { this.#handlePromotionEvent({ type: 'raise-failed', database, term }) })
    } else if (effect.type === 'promote') {
      group.call(name, database, () => group.promote(database, term), (promoted) => { this.#handlePromotionEvent({ type: 'promote-completed', database, term, promoted }) },
        () => { this.#handlePromotionEvent({ type: 'promote-failed', database, term }) })
    } else {
      group.call(name, database, () => { group.follow(database, term, effect.primary) }, () => {}, () => {})
    }
  }

  #applyCommitEffects (effects: CommitEffect[]): void {
    const { group, name, time } = this.#options
    for (const effect of effects) {
      if (effect.type === 'acknowledge') this.#pendingAcknowledgements.get(effect.id)?.()
      else if (effect.type === 'read-history') {
        const { database, term } = effect
        group.call(name, database, () => ({ history: group.readHistory(database), end: group.readStatus(database).log }),
          (response) => { this.#applyCommitEffects(this.#tracker.handle({ type: 'history', term, ...response }, time.readTime())) },
          () => { this.#applyCommitEffects(this.#tracker.handle({ type: 'history-failed', term }, time.readTime())) })
      }
    }
  }
}
