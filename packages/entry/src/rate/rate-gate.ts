import { GrantHolder, type GrantHolderEffect } from '@tanagerusher/coordination/budget/grant-holder'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { BudgetRequestParams, BudgetRequestResult } from '@tanagerusher/protocol/peer/budget-request'

interface BudgetSource {
  requestBudget(params: BudgetRequestParams): Promise<BudgetRequestResult>
  returnBudget(params: { organisation: string, grantId: string, tokens: number }): Promise<void>
}

interface CreateOptions {
  source: BudgetSource
  clock: Clock
  grantWaitMs: number
}

interface Waiter {
  /** Tokens that it still lacks. */
  missing: number
  deadline: number
  resolve: () => void
  reject: (error: unknown) => void
}

// Interval at which grants are renewed while there is traffic; tokens are held for much longer than this.
const TICK_MS = 10
const LONGEST_TICK_MS = 500

/** Admits requests against prepaid tokens, which it asks control for ahead of need. Owns the waiters and one timer. */
export class RateGate {
  readonly #options: CreateOptions
  readonly #holder = GrantHolder.create()
  readonly #queues = new Map<string, Waiter[]>()
  #timer: NodeJS.Timeout | undefined
  #tickAt = Number.POSITIVE_INFINITY
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): RateGate {
    return new RateGate(options)
  }

  /** Takes tokens that are at hand and returns how many are missing; pass these to `wait`. */
  take (organisation: string, count: number): number {
    const now = this.#options.clock.readTime()
    let missing = count
    while (missing > 0 && this.#holder.take(organisation, now)) missing--
    this.#schedule(TICK_MS, now)
    return missing
  }

  /**
   * Waits in order for tokens, at most `grantWaitMs`. Tokens of a request that gives up are lost, never spent twice.
   * @throws TanagerusherError `rate-exceeded`
   */
  async wait (organisation: string, missing: number): Promise<void> {
    const now = this.#options.clock.readTime()
    await new Promise<void>((resolve, reject) => {
      const waiter = { missing, deadline: now + this.#options.grantWaitMs, resolve, reject }
      const queue = this.#queues.get(organisation)
      if (queue === undefined) this.#queues.set(organisation, [waiter])
      else queue.push(waiter)
      this.#run()
    })
  }

  /** Returns unspent tokens, so that other hosts can grant them at once. */
  async close (): Promise<void> {
    this.#isClosed = true
    clearTimeout(this.#timer)
    for (const queue of this.#queues.values()) {
      for (const waiter of queue) waiter.reject(TanagerusherError.create('shutting-down'))
    }
    this.#queues.clear()
    await Promise.allSettled(this.#holder.close(this.#options.clock.readTime()).map(async (effect) => { await this.#carryOut(effect) }))
  }

  #run (): void {
    if (this.#isClosed) return
    const now = this.#options.clock.readTime()
    for (const [organisation, queue] of this.#queues) this.#serve(organisation, queue, now)
    for (const effect of this.#holder.listEffects(now)) void this.#carryOut(effect)
    const next = this.#holder.findNextDeadline()
    if (next !== undefined || this.#queues.size > 0) this.#schedule(this.#queues.size > 0 ? TICK_MS : Math.min(LONGEST_TICK_MS, (next ?? now) - now), now)
  }

  /** Admits waiters in order and rejects those whose time is over. */
  #serve (organisation: string, queue: Waiter[], now: number): void {
    let waiting = 0
    let served = 0
    for (const waiter of queue) {
      if (waiting === 0) this.#fill(organisation, waiter, now)
      if (waiter.missing === 0) waiter.resolve()
      else if (waiter.deadline <= now) waiter.reject(this.#createRejection(organisation))
      else {
        waiting += waiter.missing
        continue
      }
      served++
    }
    if (served > 0) this.#removeServed(organisation, queue, now)
    this.#holder.updateWaiting(organisation, waiting, now)
  }

  #fill (organisation: string, waiter: Waiter, now: number): void {
    while (waiter.missing > 0 && this.#holder.retryTake(organisation, now)) waiter.missing--
  }

  #removeServed (organisation: string, queue: Waiter[], now: number): void {
    const rest = queue.filter(({ missing, deadline }) => missing > 0 && deadline > now)
    if (rest.length === 0) this.#queues.delete(organisation)
    else this.#queues.set(organisation, rest)
  }

  #createRejection (organisation: string): TanagerusherError {
    return TanagerusherError.create('rate-exceeded', { details: { organisation, retryAfterMs: this.#options.grantWaitMs } })
  }

  async #carryOut (effect: GrantHolderEffect): Promise<void> {
    const { source, clock } = this.#options
    const { organisation } = effect
    if (effect.type === 'return') {
      await source.returnBudget({ organisation, grantId: effect.grantId, tokens: effect.tokens }).catch(() => {})
      return
    }
    const { requestId, wanted, demandPerSecond, closed } = effect
    try {
      const answer = await source.requestBudget({ organisation, wanted, demandPerSecond, closed })
      this.#holder.handleAnswer(organisation, requestId, answer, clock.readTime())
    } catch {
      this.#holder.handleFailure(organisation, requestId, clock.readTime())
    }
    this.#run()
  }

  /** Keeps one timer, for the earliest time asked for. */
  #schedule (delayMs: number, now: number): void {
    const tickAt = now + Math.max(1, delayMs)
    if (tickAt >= this.#tickAt || this.#isClosed) return
    clearTimeout(this.#timer)
    this.#tickAt = tickAt
    this.#timer = setTimeout(() => {
      this.#tickAt = Number.POSITIVE_INFINITY
      this.#run()
    }, Math.max(1, delayMs))
  }
}
