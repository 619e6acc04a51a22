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

/** Time between two status reads; the product's long poll answers at once when something changes. */
const POLL_MS = 20
const TICK_MS = 20
const ACKNOWLEDGE_TIMEOUT_MS = 5000

/** A host with the product's monitor, promotion and commit tracker over the fake group. */
export class CandidateHost {
  isAlive = true
  readonly #options: CandidateHostOptions
  readonly #monitor: GroupMonitor
  readonly #promotion: Promotion
  readonly #tracker: CommitTracker
  readonly #acknowledge = new Map<string, () => void>()

  private constructor (options: CandidateHostOptions) {
    const { group: { members }, rank, seed, time } = options
    this.#options = options
    this.#monitor = GroupMonitor.create({ members, rank, now: time.readTime() })
    this.#promotion = Promotion.create({ members, seed })
    this.#tracker = CommitTracker.create({ members })
    for (const database of members) this.#poll(database)
    this.#tick()
  }

  static create (options: CandidateHostOptions): CandidateHost {
    return new CandidateHost(options)
  }

  findPrimary (): string | undefined {
    return this.#monitor.findPrimary()?.database
  }

  /** Sends a write to the primary that the host knows. `acknowledge` runs when the policy allows it. */
  write (id: string, waitForMajority: boolean, acknowledge: () => void): void {
    const primary = this.findPrimary()
    if (primary === undefined) return
    const { group, time, name } = this.#options
    group.call(name, primary, () => group.append(primary, id), (position) => {
      if (position === undefined) return
      if (!waitForMajority) return acknowledge()
      this.#acknowledge.set(id, acknowledge)
      const deadline = time.readTime() + ACKNOWLEDGE_TIMEOUT_MS
      this.#applyCommit(this.#tracker.handle({ type: 'register', id, position, deadline }, time.readTime()))
    }, () => {})
  }

  #poll (database: string): void {
    if (!this.isAlive) return
    const { group, time, name } = this.#options
    const repeat = (): void => { time.schedule(POLL_MS, () => { this.#poll(database) }) }
    group.call(name, database, () => group.readStatus(database), (status) => {
      const now = time.readTime()
      this.#applyMonitor(this.#monitor.handle({ type: 'status', status }, now))
      this.#applyCommit(this.#tracker.handle({ type: 'status', status }, now))
      repeat()
    }, (failure) => {
      if (failure === 'refused') this.#applyMonitor(this.#monitor.handle({ type: 'refused', database }, time.readTime()))
      repeat()
    })
  }

  #tick (): void {
    if (!this.isAlive) return
    const now = this.#options.time.readTime()
    if (!this.#promotion.isRunning) this.#applyMonitor(this.#monitor.handle({ type: 'tick' }, now))
    this.#sendPromotion({ type: 'tick' })
    this.#applyCommit(this.#tracker.handle({ type: 'tick' }, now))
    this.#options.time.schedule(TICK_MS, () => { this.#tick() })
  }

  #applyMonitor (effects: MonitorEffect[]): void {
    const { group, name, permit, time } = this.#options
    for (const effect of effects) {
      if (effect.type === 'follow') group.call(name, effect.database, () => { group.follow(effect.database, effect.term, effect.primary) }, () => {}, () => {})
      else if (permit.mayPromote()) this.#sendPromotion({ type: 'start', highestTerm: this.#monitor.highestTerm })
      else this.#applyMonitor(this.#monitor.handle({ type: 'promotion-ended', succeeded: false, retryAfterMs: 100 }, time.readTime()))
    }
  }

  #sendPromotion (event: PromotionEvent): void {
    if (!this.isAlive) return
    for (const effect of this.#promotion.handle(event, this.#options.time.readTime())) this.#applyPromotion(effect)
  }

  #applyPromotion (effect: PromotionEffect): void {
    const { group, name, time } = this.#options
    if (effect.type === 'ended') {
      this.#applyMonitor(this.#monitor.handle({ type: 'promotion-ended', succeeded: effect.succeeded, retryAfterMs: effect.retryAfterMs }, time.readTime()))
      return
    }
    const { database, term } = effect
    if (effect.type === 'raise-term') {
      group.call(name, database, () => group.raiseTerm(database, term), (answer) => { this.#sendPromotion({ type: 'raise-answered', database, term, ...answer }) },
        () => { this.#sendPromotion({ type: 'raise-failed', database, term }) })
    } else if (effect.type === 'promote') {
      group.call(name, database, () => group.promote(database, term), (promoted) => { this.#sendPromotion({ type: 'promote-answered', database, term, promoted }) },
        () => { this.#sendPromotion({ type: 'promote-failed', database, term }) })
    } else {
      group.call(name, database, () => { group.follow(database, term, effect.primary) }, () => {}, () => {})
    }
  }

  #applyCommit (effects: CommitEffect[]): void {
    const { group, name, time } = this.#options
    for (const effect of effects) {
      if (effect.type === 'acknowledge') this.#acknowledge.get(effect.id)?.()
      else if (effect.type === 'read-history') {
        const { database, term } = effect
        group.call(name, database, () => ({ history: group.readHistory(database), end: group.readStatus(database).log }),
          (answer) => { this.#applyCommit(this.#tracker.handle({ type: 'history', term, ...answer }, time.readTime())) },
          () => { this.#applyCommit(this.#tracker.handle({ type: 'history-failed', term }, time.readTime())) })
      }
    }
  }
}
