import type { Position } from '@tanagerusher/state/position/position'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import type { DecisionModule } from '../common/decision-module.js'
import { findQuorumSize } from './find-quorum-size.js'

export type PromotionEvent =
  | { type: 'start', highestTerm: number }
  | { type: 'raise-completed', database: string, term: number, granted: boolean, promisedTerm: number, log: Position }
  | { type: 'raise-failed', database: string, term: number }
  | { type: 'promote-completed', database: string, term: number, promoted: boolean }
  | { type: 'promote-failed', database: string, term: number }
  | { type: 'tick' }

export type PromotionEffect =
  | { type: 'raise-term', database: string, term: number }
  | { type: 'promote', database: string, term: number }
  | { type: 'follow', database: string, term: number, primary: string }
  | { type: 'ended', succeeded: boolean, term: number, primary: string | undefined, retryAfterMs: number, reason: string }

interface CreateOptions {
  /** Databases of the group. Among equal logs the first in this order is chosen. */
  members: readonly string[]
  seed: number
  /** Suspected primary, which is not chosen when the other members that granted the term form a majority without it. */
  avoid?: string | undefined
  raiseTimeoutMs?: number
  settleMs?: number
  promoteTimeoutMs?: number
}

type Phase = 'idle' | 'raising' | 'promoting'

/** Covers a round trip between regions (40 ms) and leaves ample time for a busy database. */
const RAISE_TIMEOUT_MS = 400
/** Time for the members beyond the majority to respond, so that a longer log among them is chosen. */
const SETTLE_MS = 60
const PROMOTE_TIMEOUT_MS = 600
const MAX_BACKOFF_MS = 2000

/**
 * One candidate's attempt to replace the primary: raises the term at a majority, chooses the longest log among the members that
 * granted it, promotes that member and makes the others follow. A candidate that was paused between steps does no harm, because its
 * term is outdated and every later call with it is refused.
 */
export class Promotion implements DecisionModule<PromotionEvent, PromotionEffect> {
  readonly #members: readonly string[]
  readonly #avoid: string | undefined
  readonly #raiseTimeoutMs: number
  readonly #settleMs: number
  readonly #promoteTimeoutMs: number
  readonly #random: ReturnType<typeof xorshift128plus>
  #phase: Phase = 'idle'
  #term = 0
  #grants = new Map<string, Position>()
  #responded = new Set<string>()
  #deadline: number | undefined
  #settleAt: number | undefined
  #chosen: string | undefined
  #failures = 0

  private constructor ({ members, seed, avoid, raiseTimeoutMs = RAISE_TIMEOUT_MS, settleMs = SETTLE_MS, promoteTimeoutMs = PROMOTE_TIMEOUT_MS }: CreateOptions) {
    this.#members = members
    this.#avoid = avoid
    this.#raiseTimeoutMs = raiseTimeoutMs
    this.#settleMs = settleMs
    this.#promoteTimeoutMs = promoteTimeoutMs
    this.#random = xorshift128plus(seed)
  }

  static create (options: CreateOptions): Promotion {
    return new Promotion(options)
  }

  get isRunning (): boolean {
    return this.#phase !== 'idle'
  }

  handle (event: PromotionEvent, now: number): PromotionEffect[] {
    if (event.type === 'start') return this.#start(event.highestTerm, now)
    if (event.type === 'tick') return this.#checkDeadline(now)
    if (this.#phase === 'idle' || event.term !== this.#term) return []
    switch (event.type) {
      case 'raise-completed': return this.#applyRaise(event.database, event.granted, event.promisedTerm, event.log, now)
      case 'raise-failed':
        this.#responded.add(event.database)
        return this.#chooseWhenReady(now)
      case 'promote-completed': return event.promoted ? this.#succeed() : this.#fail('the promotion was refused: a higher term exists')
      // The response may be lost after the promotion took effect. The call is idempotent, so it is repeated.
      case 'promote-failed': return this.#phase === 'promoting' && now < (this.#deadline ?? 0) ? [this.#buildPromote()] : []
    }
  }

  findNextDeadline (): number | undefined {
    if (this.#phase === 'idle') return undefined
    return this.#settleAt === undefined ? this.#deadline : Math.min(this.#settleAt, this.#deadline ?? Infinity)
  }

  #start (highestTerm: number, now: number): PromotionEffect[] {
    if (this.#phase !== 'idle') return []
    this.#phase = 'raising'
    this.#term = Math.max(highestTerm, this.#term) + 1
    this.#grants = new Map()
    this.#responded = new Set()
    this.#settleAt = undefined
    this.#deadline = now + this.#raiseTimeoutMs
    return this.#members.map((database) => ({ type: 'raise-term', database, term: this.#term }))
  }

  #applyRaise (database: string, granted: boolean, promisedTerm: number, log: Position, now: number): PromotionEffect[] {
    if (this.#phase !== 'raising') return []
    this.#responded.add(database)
    if (granted) this.#grants.set(database, log)
    else if (promisedTerm > this.#term) return this.#fail('a higher term exists', promisedTerm)
    return this.#chooseWhenReady(now)
  }

  #chooseWhenReady (now: number): PromotionEffect[] {
    if (this.#phase !== 'raising') return []
    const hasQuorum = this.#grants.size >= findQuorumSize(this.#members.length)
    if (hasQuorum && (this.#responded.size === this.#members.length || (this.#settleAt !== undefined && now >= this.#settleAt))) return this.#promote(now)
    if (hasQuorum) this.#settleAt ??= now + this.#settleMs
    else if (this.#responded.size === this.#members.length) return this.#fail('no majority granted the term')
    return []
  }

  #promote (now: number): PromotionEffect[] {
    this.#phase = 'promoting'
    this.#settleAt = undefined
    this.#deadline = now + this.#promoteTimeoutMs
    this.#chosen = this.#listElectable()
      .sort((left, right) => comparePositions(this.#grants.get(right) as Position, this.#grants.get(left) as Position))[0]
    return [this.#buildPromote()]
  }

  /** Every majority holds every acknowledged write, so the suspect can be excluded when the other members form a majority. */
  #listElectable (): string[] {
    const granted = this.#members.filter((database) => this.#grants.has(database))
    const others = granted.filter((database) => database !== this.#avoid)
    return others.length >= findQuorumSize(this.#members.length) ? others : granted
  }

  #buildPromote (): PromotionEffect {
    return { type: 'promote', database: this.#chosen as string, term: this.#term }
  }

  #succeed (): PromotionEffect[] {
    if (this.#phase !== 'promoting') return []
    const primary = this.#chosen as string
    const follows = this.#members
      .filter((database) => database !== primary)
      .map((database): PromotionEffect => ({ type: 'follow', database, term: this.#term, primary }))
    this.#reset()
    this.#failures = 0
    return [...follows, { type: 'ended', succeeded: true, term: this.#term, primary, retryAfterMs: 0, reason: 'promoted' }]
  }

  #fail (reason: string, higherTerm = 0): PromotionEffect[] {
    this.#reset()
    this.#term = Math.max(this.#term, higherTerm)
    this.#failures++
    const limit = Math.min(MAX_BACKOFF_MS, 100 * 2 ** this.#failures)
    const retryAfterMs = uniformInt(this.#random, Math.floor(limit / 2), limit)
    return [{ type: 'ended', succeeded: false, term: this.#term, primary: undefined, retryAfterMs, reason }]
  }

  #reset (): void {
    this.#phase = 'idle'
    this.#deadline = undefined
    this.#settleAt = undefined
  }

  #checkDeadline (now: number): PromotionEffect[] {
    if (this.#phase === 'raising' && this.#settleAt !== undefined && now >= this.#settleAt) return this.#chooseWhenReady(now)
    if (this.#phase === 'idle' || now < (this.#deadline ?? Infinity)) return []
    return this.#fail(this.#phase === 'raising' ? 'no majority answered in time' : 'the promotion was not confirmed in time')
  }
}
