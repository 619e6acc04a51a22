import type { Clock } from '@tanagerusher/coordination/common/clock'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { BudgetRequestParams, BudgetRequestResult } from '@tanagerusher/protocol/peer/budget-request'
import { LocalGrants } from './local-grants.js'

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
  count: number
  deadline: number
  resolve: () => void
  reject: (error: unknown) => void
}

interface Account {
  organisation: string
  grants: LocalGrants
  waiters: Waiter[]
  isAsking: boolean
  timer: NodeJS.Timeout | undefined
}

// Tokens for a quarter of a second keep requests from waiting for a grant, and leave little unspent at one host.
const COVER_MS = 250
const FAILURE_DELAY_MS = 20

/** Admits requests against prepaid tokens, which it asks control for ahead of need. */
export class RateGate {
  readonly #options: CreateOptions
  readonly #accounts = new Map<string, Account>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): RateGate {
    return new RateGate(options)
  }

  /** Takes tokens that are at hand. False: use `wait`. */
  take (organisation: string, count: number): boolean {
    const account = this.#getAccount(organisation)
    const now = this.#options.clock.readTime()
    account.grants.recordDemand(count, now)
    const taken = account.waiters.length === 0 && account.grants.take(count, now)
    this.#askWhenShort(account, now, taken ? 0 : count)
    return taken
  }

  /**
   * Waits in order for tokens, at most `grantWaitMs`.
   * @throws TanagerusherError `rate-exceeded`
   */
  async wait (organisation: string, count: number): Promise<void> {
    const account = this.#getAccount(organisation)
    const now = this.#options.clock.readTime()
    await new Promise<void>((resolve, reject) => {
      account.waiters.push({ count, deadline: now + this.#options.grantWaitMs, resolve, reject })
      this.#serve(account)
    })
  }

  /** Returns unspent tokens, so that other hosts can grant them at once. */
  async returnAll (): Promise<void> {
    const now = this.#options.clock.readTime()
    const returns = [...this.#accounts.values()].flatMap(({ organisation, grants }) =>
      grants.takeAll(now).map(async (unspent) => { await this.#options.source.returnBudget({ organisation, ...unspent }) }))
    await Promise.allSettled(returns)
  }

  close (): void {
    for (const account of this.#accounts.values()) {
      clearTimeout(account.timer)
      for (const waiter of account.waiters.splice(0)) waiter.reject(TanagerusherError.create('shutting-down'))
    }
  }

  #getAccount (organisation: string): Account {
    let account = this.#accounts.get(organisation)
    if (account === undefined) {
      account = { organisation, grants: LocalGrants.create({ coverMs: COVER_MS }), waiters: [], isAsking: false, timer: undefined }
      this.#accounts.set(organisation, account)
    }
    return account
  }

  /** Admits waiters in order, rejects those whose time is over, and asks for more tokens when they are short. */
  #serve (account: Account): void {
    const now = this.#options.clock.readTime()
    const { waiters, grants } = account
    while (waiters.length > 0) {
      const waiter = waiters[0] as Waiter
      if (grants.take(waiter.count, now)) waiter.resolve()
      else if (waiter.deadline <= now) waiter.reject(this.#createRejection(account, now))
      else break
      waiters.shift()
    }
    const waiting = waiters.reduce((sum, { count }) => sum + count, 0)
    this.#askWhenShort(account, now, waiting)
    this.#scheduleNext(account, now)
  }

  #createRejection ({ organisation, grants }: Account, now: number): TanagerusherError {
    const retryAfterMs = Math.max(1, Math.ceil(Math.max(grants.retryAt - now, this.#options.grantWaitMs)))
    return TanagerusherError.create('rate-exceeded', { details: { organisation, retryAfterMs } })
  }

  #askWhenShort (account: Account, now: number, waiting: number): void {
    if (account.isAsking) return
    const wanted = account.grants.computeWanted(waiting, now)
    if (wanted > 0) void this.#ask(account, wanted, now)
  }

  async #ask (account: Account, wanted: number, sentAt: number): Promise<void> {
    const { organisation, grants } = account
    account.isAsking = true
    try {
      const result = await this.#options.source.requestBudget({ organisation, wanted, demandPerSecond: grants.demandPerSecond })
      grants.addGrant(result, sentAt, this.#options.clock.readTime())
    } catch {
      grants.delayRequests(this.#options.clock.readTime() + FAILURE_DELAY_MS)
    }
    account.isAsking = false
    this.#serve(account)
  }

  /** One timer an organisation, and only while somebody waits. */
  #scheduleNext (account: Account, now: number): void {
    const first = account.waiters[0]
    if (first === undefined || account.timer !== undefined) return
    const next = account.isAsking ? first.deadline : Math.min(first.deadline, Math.max(account.grants.retryAt, now))
    account.timer = setTimeout(() => {
      account.timer = undefined
      this.#serve(account)
    }, Math.max(1, next - now))
  }
}
