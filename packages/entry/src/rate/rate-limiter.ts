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
  /** Number of tokens still missing. */
  missing: number
  deadline: number
  resolve: () => void
  reject: (error: unknown) => void
}

/** Waiters of one organisation in order of arrival, which is also the order of their deadlines. */
interface Queue {
  waiters: Waiter[]
  /** Number of tokens that all waiters together are missing. */
  missing: number
}

// Interval at which grants are renewed while there is traffic. Grants stay valid for much longer than this.
const MINIMUM_TICK_MS = 10
const MAXIMUM_TICK_MS = 500

/** Admits requests against tokens that it requests from control ahead of demand. Owns the waiters and one timer. */
export class RateLimiter {
  readonly #options: CreateOptions
  readonly #holder = GrantHolder.create()
  readonly #queues = new Map<string, Queue>()
  /** Organisations whose last grant had fewer tokens than requested. */
  readonly #partiallyGrantedOrganisations = new Set<string>()
  #timer: NodeJS.Timeout | undefined
  #tickAt = Number.POSITIVE_INFINITY
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): RateLimiter {
    return new RateLimiter(options)
  }

  /** Takes available tokens and returns how many are missing, which the caller passes to `wait`. */
  take (organisation: string, count: number): number {
    const now = this.#options.clock.readTime()
    let missing = count
    while (missing > 0 && this.#holder.take(organisation, now)) missing--
    this.#schedule(MINIMUM_TICK_MS, now)
    return missing
  }

  /**
   * Waits for tokens in order of arrival. Tokens that a request took before its wait ended early are lost, never spent twice.
   * @throws TanagerusherError `rate-exceeded` when the wait times out; see `#isExpired`
   */
  async wait (organisation: string, missing: number): Promise<void> {
    const now = this.#options.clock.readTime()
    await new Promise<void>((resolve, reject) => {
      const waiter = { missing, deadline: now + this.#options.grantWaitMs, resolve, reject }
      this.#addWaiter(organisation, waiter)
      this.#holder.updateWaiting(organisation, this.#queues.get(organisation)?.missing ?? 0, now)
      this.#applyEffects(now)
    })
  }

  /** Returns unspent tokens, so that other hosts can grant them immediately. */
  async close (): Promise<void> {
    this.#isClosed = true
    clearTimeout(this.#timer)
    for (const queue of this.#queues.values()) {
      for (const waiter of queue.waiters) waiter.reject(TanagerusherError.create('shutting-down'))
    }
    this.#queues.clear()
    await Promise.allSettled(this.#holder.close(this.#options.clock.readTime()).map(async (effect) => { await this.#applyEffect(effect) }))
  }

  #serveQueues (): void {
    if (this.#isClosed) return
    const now = this.#options.clock.readTime()
    for (const [organisation, queue] of this.#queues) this.#serveQueue(organisation, queue, now)
    this.#applyEffects(now)
  }

  #applyEffects (now: number): void {
    for (const effect of this.#holder.listEffects(now)) void this.#applyEffect(effect)
    const next = this.#holder.findNextDeadline()
    if (next !== undefined || this.#queues.size > 0) this.#schedule(this.#queues.size > 0 ? MINIMUM_TICK_MS : Math.min(MAXIMUM_TICK_MS, (next ?? now) - now), now)
  }

  #addWaiter (organisation: string, waiter: Waiter): void {
    const queue = this.#queues.get(organisation)
    if (queue === undefined) this.#queues.set(organisation, { waiters: [waiter], missing: waiter.missing })
    else {
      queue.waiters.push(waiter)
      queue.missing += waiter.missing
    }
  }

  /** Admits waiters in order and rejects those whose wait has timed out. Stops at the first waiter that must keep waiting. */
  #serveQueue (organisation: string, queue: Queue, now: number): void {
    let served = 0
    for (const waiter of queue.waiters) {
      const missingBefore = waiter.missing
      this.#takeTokens(organisation, waiter, now)
      queue.missing -= missingBefore - waiter.missing
      if (waiter.missing === 0) waiter.resolve()
      else if (this.#isExpired(organisation, waiter, now)) {
        queue.missing -= waiter.missing
        waiter.reject(this.#createRejection(organisation))
      } else break
      served++
    }
    if (served > 0) queue.waiters.splice(0, served)
    if (queue.waiters.length === 0) this.#queues.delete(organisation)
    this.#holder.updateWaiting(organisation, queue.missing, now)
  }

  #takeTokens (organisation: string, waiter: Waiter, now: number): void {
    while (waiter.missing > 0 && this.#holder.retryTake(organisation, now)) waiter.missing--
  }

  /**
   * A wait times out after `grantWaitMs` when the last grant had fewer tokens than requested. When control granted all
   * requested tokens, or has not responded yet, the delay is caused by a busy process or by control, and the wait times
   * out after twice that time.
   */
  #isExpired (organisation: string, { deadline }: Waiter, now: number): boolean {
    return deadline <= now && (this.#partiallyGrantedOrganisations.has(organisation) || now >= deadline + this.#options.grantWaitMs)
  }

  #createRejection (organisation: string): TanagerusherError {
    return TanagerusherError.create('rate-exceeded', { details: { organisation, retryAfterMs: this.#options.grantWaitMs } })
  }

  async #applyEffect (effect: GrantHolderEffect): Promise<void> {
    const { source, clock } = this.#options
    const { organisation } = effect
    if (effect.type === 'return') {
      await source.returnBudget({ organisation, grantId: effect.grantId, tokens: effect.tokens }).catch(() => {})
      return
    }
    const { requestId, wanted, demandPerSecond, closed } = effect
    try {
      const response = await source.requestBudget({ organisation, wanted, demandPerSecond, closed })
      this.#holder.handleResponse(organisation, requestId, response, clock.readTime())
      if (response.tokens < wanted) this.#partiallyGrantedOrganisations.add(organisation)
      else this.#partiallyGrantedOrganisations.delete(organisation)
    } catch {
      this.#holder.handleFailure(organisation, requestId, clock.readTime())
    }
    this.#serveQueues()
  }

  /** Keeps one timer, set to the earliest scheduled time. */
  #schedule (delayMs: number, now: number): void {
    const tickAt = now + Math.max(1, delayMs)
    if (tickAt >= this.#tickAt || this.#isClosed) return
    clearTimeout(this.#timer)
    this.#tickAt = tickAt
    this.#timer = setTimeout(() => {
      this.#tickAt = Number.POSITIVE_INFINITY
      // When the process was busy, a response may be waiting in the socket: it is handled before waiters are rejected.
      setImmediate(() => { this.#serveQueues() })
    }, Math.max(1, delayMs))
  }
}
