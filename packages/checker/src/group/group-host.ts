import { CommitTracker, type CommitEffect } from '@tanagerusher/coordination/failover/commit-tracker'
import { GroupMonitor, type MonitorEffect } from '@tanagerusher/coordination/failover/group-monitor'
import { ProbeConfirmation, type ProbeEffect } from '@tanagerusher/coordination/failover/probe-confirmation'
import { Promotion, type PromotionEffect } from '@tanagerusher/coordination/failover/promotion'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { EventQueue } from '../common/event-queue.js'
import type { GroupNetwork } from './group-network.js'

const POLL_INTERVAL_MS = 100
const CALL_TIMEOUT_MS = 500
const TICK_INTERVAL_MS = 50
const CONFIRM_TIMEOUT_MS = 3000

interface CreateOptions {
  index: number
  queue: EventQueue
  network: GroupNetwork
  seed: number
}

/** One host's decision modules for one group. Drives them over in-memory fakes, where the pool uses sockets. */
export class GroupHost {
  readonly index: number
  readonly #queue: EventQueue
  readonly #network: GroupNetwork
  readonly #monitor: GroupMonitor
  readonly #promotion: Promotion
  readonly #tracker: CommitTracker
  readonly #probe: ProbeConfirmation
  readonly #statuses = new Map<string, DatabaseStatus>()
  readonly #confirmations = new Map<string, (isConfirmed: boolean) => void>()
  readonly #probes = new Map<string, (position: Position | undefined) => void>()
  #nextId = 0

  private constructor ({ index, queue, network, seed }: CreateOptions) {
    const members = network.members.map(({ name }) => name)
    this.index = index
    this.#queue = queue
    this.#network = network
    this.#monitor = GroupMonitor.create({ members, rank: index, now: queue.now })
    this.#promotion = Promotion.create({ members, seed: seed + index })
    this.#tracker = CommitTracker.create({ members })
    this.#probe = ProbeConfirmation.create({ members })
  }

  static create (options: CreateOptions): GroupHost {
    const host = new GroupHost(options)
    for (const { name } of options.network.members) host.#poll(name)
    host.#tick()
    return host
  }

  findPrimary (): string | undefined {
    return this.#monitor.findPrimary()?.database
  }

  listStatuses (): DatabaseStatus[] {
    return [...this.#statuses.values()]
  }

  /** Calls `handle` with true once a majority holds `position`, or with false when that is not confirmed. */
  confirm (position: Position, handle: (isConfirmed: boolean) => void): void {
    const id = this.#createId()
    this.#confirmations.set(id, handle)
    this.#applyCommit(this.#tracker.handle({ type: 'register', id, position, deadline: this.#queue.now + CONFIRM_TIMEOUT_MS }, this.#queue.now))
  }

  /** Calls `handle` with a linearizable position of the primary, or with undefined when no majority confirms one. */
  probe (handle: (position: Position | undefined) => void): void {
    const id = this.#createId()
    this.#probes.set(id, handle)
    this.#applyProbe(this.#probe.handle({ type: 'request', id, deadline: this.#queue.now + CONFIRM_TIMEOUT_MS }, this.#queue.now))
  }

  #createId (): string {
    return `${this.index}-${this.#nextId++}`
  }

  #poll (name: string): void {
    this.#readStatus(name, undefined, () => { this.#queue.add(POLL_INTERVAL_MS, () => { this.#poll(name) }) })
  }

  #readStatus (name: string, round: number | undefined, handleEnd: () => void): void {
    this.#network.call(this.index, name, (member) => member.buildStatus(this.#queue.now), CALL_TIMEOUT_MS, (outcome) => {
      const { now } = this.#queue
      if (outcome.type === 'answered') this.#applyStatus(outcome.answer, round, now)
      if (outcome.type === 'refused') this.#applyMonitor(this.#monitor.handle({ type: 'refused', database: name }, now))
      handleEnd()
    })
  }

  #applyStatus (status: DatabaseStatus, round: number | undefined, now: number): void {
    this.#statuses.set(status.database, status)
    this.#applyMonitor(this.#monitor.handle({ type: 'status', status }, now))
    this.#applyCommit(this.#tracker.handle({ type: 'status', status }, now))
    if (round !== undefined) this.#applyProbe(this.#probe.handle({ type: 'status', round, status }, now))
  }

  #tick (): void {
    const { now } = this.#queue
    if (!this.#network.isPaused(this.index)) {
      this.#applyMonitor(this.#monitor.handle({ type: 'tick' }, now))
      this.#applyPromotion(this.#promotion.handle({ type: 'tick' }, now))
      this.#applyCommit(this.#tracker.handle({ type: 'tick' }, now))
      this.#applyProbe(this.#probe.handle({ type: 'tick' }, now))
    }
    this.#queue.add(TICK_INTERVAL_MS, () => { this.#tick() })
  }

  #applyMonitor (effects: MonitorEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'start-promotion') {
        this.#applyPromotion(this.#promotion.handle({ type: 'start', highestTerm: this.#monitor.highestTerm }, this.#queue.now))
      } else this.#follow(effect.database, effect.term, effect.primary)
    }
  }

  #applyPromotion (effects: PromotionEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'raise-term') this.#raiseTerm(effect.database, effect.term)
      else if (effect.type === 'promote') this.#promote(effect.database, effect.term)
      else if (effect.type === 'follow') this.#follow(effect.database, effect.term, effect.primary)
      else this.#applyMonitor(this.#monitor.handle({ type: 'promotion-ended', succeeded: effect.succeeded, retryAfterMs: effect.retryAfterMs }, this.#queue.now))
    }
  }

  #raiseTerm (database: string, term: number): void {
    this.#network.call(this.index, database, (member) => member.raiseTerm(term), CALL_TIMEOUT_MS, (outcome) => {
      const event = outcome.type === 'answered'
        ? { type: 'raise-completed' as const, database, term, ...outcome.answer }
        : { type: 'raise-failed' as const, database, term }
      this.#applyPromotion(this.#promotion.handle(event, this.#queue.now))
    })
  }

  #promote (database: string, term: number): void {
    this.#network.call(this.index, database, (member) => member.promote(term), CALL_TIMEOUT_MS, (outcome) => {
      const event = outcome.type === 'answered'
        ? { type: 'promote-completed' as const, database, term, promoted: outcome.answer }
        : { type: 'promote-failed' as const, database, term }
      this.#applyPromotion(this.#promotion.handle(event, this.#queue.now))
    })
  }

  #follow (database: string, term: number, primary: string): void {
    this.#network.call(this.index, database, (member) => member.follow(term, primary), CALL_TIMEOUT_MS, () => {})
  }

  #applyCommit (effects: CommitEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'read-history') {
        this.#readHistory(effect.database, effect.term)
        continue
      }
      const handle = this.#confirmations.get(effect.id)
      this.#confirmations.delete(effect.id)
      handle?.(effect.type === 'acknowledge')
    }
  }

  #readHistory (database: string, term: number): void {
    const read = (member: { readTermHistory(): Array<{ term: number, start: number }>, end: Position }): { history: Array<{ term: number, start: number }>, end: Position } =>
      ({ history: member.readTermHistory(), end: member.end })
    this.#network.call(this.index, database, read, CALL_TIMEOUT_MS, (outcome) => {
      const event = outcome.type === 'answered' ? { type: 'history' as const, term, ...outcome.answer } : { type: 'history-failed' as const, term }
      this.#applyCommit(this.#tracker.handle(event, this.#queue.now))
    })
  }

  #applyProbe (effects: ProbeEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'start-round') {
        this.#startRound(effect.round)
        continue
      }
      for (const id of effect.ids) {
        const handle = this.#probes.get(id)
        this.#probes.delete(id)
        handle?.(effect.type === 'confirm' ? effect.position : undefined)
      }
    }
  }

  #startRound (round: number): void {
    let remaining = this.#network.members.length
    for (const { name } of this.#network.members) {
      this.#readStatus(name, round, () => {
        if (--remaining === 0) this.#applyProbe(this.#probe.handle({ type: 'round-ended', round }, this.#queue.now))
      })
    }
  }
}
