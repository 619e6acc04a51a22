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

/** Waiters of one organisation in the order of their arrival, which is that of their deadlines. */
interface Queue {
  waiters: Waiter[]
  /** Tokens that they lack together. */
  missing: number
}

// Interval at which grants are renewed while there is traffic; tokens are held for much longer than this.
const TICK_MS = 10
const LONGEST_TICK_MS = 500

/** Admits requests against prepaid tokens, which it asks control for ahead of need. Owns the waiters and one timer. */
export class RateGate {
  readonly #options: CreateOptions
  readonly #holder = GrantHolder.create()
  readonly #queues = new Map<string, Queue>()
  /** Organisations that got less than they asked for the last time. */
  readonly #short = new Set<string>()
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
   * Waits in order for tokens; see `#isOver`. Tokens of a request that gives up are lost, never spent twice.
   * @throws TanagerusherError `rate-exceeded`
   */
  async wait (organisation: string, missing: number): Promise<void> {
    const now = this.#options.clock.readTime()
    await new Promise<void>((resolve, reject) => {
      const waiter = { missing, deadline: now + this.#options.grantWaitMs, resolve, reject }
      this.#addWaiter(organisation, waiter)
      this.#holder.updateWaiting(organisation, this.#queues.get(organisation)?.missing ?? 0, now)
      this.#listEffects(now)
    })
  }

  /** Returns unspent tokens, so that other hosts can grant them at once. */
  async close (): Promise<void> {
    this.#isClosed = true
    clearTimeout(this.#timer)
    for (const queue of this.#queues.values()) {
      for (const waiter of queue.waiters) waiter.reject(TanagerusherError.create('shutting-down'))
    }
    this.#queues.clear()
    await Promise.allSettled(this.#holder.close(this.#options.clock.readTime()).map(async (effect) => { await this.#carryOut(effect) }))
  }

  #run (): void {
    if (this.#isClosed) return
    const now = this.#options.clock.readTime()
    for (const [organisation, queue] of this.#queues) this.#serve(organisation, queue, now)
    this.#listEffects(now)
  }

  #listEffects (now: number): void {
    for (const effect of this.#holder.listEffects(now)) void this.#carryOut(effect)
    const next = this.#holder.findNextDeadline()
    if (next !== undefined || this.#queues.size > 0) this.#schedule(this.#queues.size > 0 ? TICK_MS : Math.min(LONGEST_TICK_MS, (next ?? now) - now), now)
  }

  #addWaiter (organisation: string, waiter: Waiter): void {
    const queue = this.#queues.get(organisation)
    if (queue === undefined) this.#queues.set(organisation, { waiters: [waiter], missing: waiter.missing })
    else {
      queue.waiters.push(waiter)
      queue.missing += waiter.missing
    }
  }

  /** Admits waiters in order and rejects those whose time is over, up to the first that has to wait on. */
  #serve (organisation: string, queue: Queue, now: number): void {
    let served = 0
    for (const waiter of queue.waiters) {
      const before = waiter.missing
      this.#fill(organisation, waiter, now)
      queue.missing -= before - waiter.missing
      if (waiter.missing === 0) waiter.resolve()
      else if (this.#isOver(organisation, waiter, now)) {
        queue.missing -= waiter.missing
        waiter.reject(this.#createRejection(organisation))
      } else break
      served++
    }
    if (served > 0) queue.waiters.splice(0, served)
    if (queue.waiters.length === 0) this.#queues.delete(organisation)
    this.#holder.updateWaiting(organisation, queue.missing, now)
  }

  #fill (organisation: string, waiter: Waiter, now: number): void {
    while (waiter.missing > 0 && this.#holder.retryTake(organisation, now)) waiter.missing--
  }

  /**
   * Over after `grantWaitMs` when tokens are short. When control gave all that was asked for, or has not answered, the
   * delay is that of a busy process or of control, and the wait is over after twice the time.
   */
  #isOver (organisation: string, { deadline }: Waiter, now: number): boolean {
    return deadline <= now && (this.#short.has(organisation) || now >= deadline + this.#options.grantWaitMs)
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
      this.#holder.handleResponse(organisation, requestId, answer, clock.readTime())
      if (answer.tokens < wanted) this.#short.add(organisation)
      else this.#short.delete(organisation)
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
      // When the process was busy, an answer may be waiting to be read: it comes before anything is rejected.
      setImmediate(() => { this.#run() })
    }, Math.max(1, delayMs))
  }
}
