import { canGetTokenInTime } from '@tanagerusher/coordination/budget/can-get-token-in-time'
import { chooseRetryAfterMs } from '@tanagerusher/coordination/budget/choose-retry-after-ms'
import { TokenExchange } from '@tanagerusher/coordination/budget/token-exchange'
import type { ExchangeRequest } from '@tanagerusher/coordination/budget/exchange-request'
import { TokenPool } from '@tanagerusher/coordination/budget/token-pool'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { computeHash } from '@tanagerusher/coordination/common/compute-hash'
import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import { budgetExchange } from '@tanagerusher/protocol/peer/budget-exchange'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { Logger } from 'winston'
import type { PeerLinks } from '../peer/peer-links.js'

interface CreateOptions {
  self: string
  links: PeerLinks
  clock: Clock
  logger: Logger
  /** Requests above the rate that operators accept within a window. */
  rateSlack: number
}

type TokenAmounts = Record<string, number>

interface Waiter { organisation: string, resolve: (isTaken: boolean) => void, deadline: number }

const EXCHANGE_INTERVAL_MS = 250
/** Interval of deposits. Must not exceed the time that a host's ceiling takes to fill: half a burst, which accrues in half a second. */
const DEPOSIT_INTERVAL_MS = 400
/** Minimum time between two exchanges while a request waits for a token. */
const MINIMUM_EXCHANGE_INTERVAL_MS = 60
const EXCHANGE_TIMEOUT_MS = 600
/** Fraction of the slack that may be overdrawn. The rest covers hosts that receive a lower rate or a new host list late. */
const OVERDRAFT_FRACTION = 0.5
/** Number of hosts that one budget home serves. */
const HOSTS_PER_HOME = 64

/** Rate limiter: the tokens of this host, and the pool of tokens that it keeps as a budget home. */
export class BudgetTask {
  readonly #options: CreateOptions
  readonly #exchange: TokenExchange
  readonly #pool = TokenPool.create()
  readonly #startedAt: number
  readonly #overdraft: number
  #organisations: Catalogue['organisations'] = new Map()
  #hosts: readonly HostRecord[] = []
  #waiters: Waiter[] = []
  #exchangedAt = -Infinity
  #depositedAt = -Infinity
  #timer: NodeJS.Timeout | undefined
  #isClosed = false
  #isLeaving = false

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#startedAt = options.clock.readTime()
    this.#overdraft = options.rateSlack * OVERDRAFT_FRACTION
    this.#exchange = TokenExchange.create({ startedAt: this.#startedAt, overdraft: this.#overdraft, phase: computeHash(options.self) / 2 ** 32 })
  }

  static create (options: CreateOptions): BudgetTask {
    return new BudgetTask(options)
  }

  start (): void {
    this.#runExchange()
  }

  updateCatalogue ({ organisations }: Catalogue): void {
    this.#organisations = organisations
    this.#updateLimits()
  }

  updateHosts (hosts: readonly HostRecord[]): void {
    this.#hosts = hosts
    this.#updateLimits()
  }

  /** Time in ms since this host began to accrue tokens. */
  readUptimeMs (): number {
    return this.#options.clock.readTime() - this.#startedAt
  }

  /** Takes a token for one operation, and waits for at most `waitMs` if none is available. Returns false when there is still none or cannot be one in time. */
  async take (organisation: string, waitMs: number): Promise<boolean> {
    const { clock } = this.#options
    if (!Number.isFinite(this.#organisations.get(organisation)?.ratePerSecond ?? 0)) return true
    const now = clock.readTime()
    if (this.#exchange.take(organisation, now)) return true
    const { ratePerSecond = 0, burst = 0 } = this.#organisations.get(organisation) ?? {}
    const { waiting } = this.#exchange.describe(organisation, now)
    if (!canGetTokenInTime({ ratePerSecond, burst, overdraft: this.#overdraft, waiting, waitMs })) {
      this.#exchange.stopWaiting(organisation)
      return false
    }
    this.#startExchangeSoon()
    return await new Promise((resolve) => { this.#waiters.push({ organisation, resolve, deadline: now + waitMs }) })
  }

  /** Returns the time in ms after which a refused caller may come back. */
  chooseRetryAfterMs (organisation: string): number {
    const { waiting } = this.#exchange.describe(organisation, this.#options.clock.readTime())
    return chooseRetryAfterMs({ ratePerSecond: this.#organisations.get(organisation)?.ratePerSecond ?? 0, waiting })
  }

  refund (organisation: string): void {
    this.#exchange.refund(organisation)
  }

  get lentTokens (): number { return this.#pool.lentTokens }

  /** Returns the inputs of an admission decision, for its log line. */
  describe (organisation: string): Record<string, unknown> {
    const limit = this.#organisations.get(organisation)
    return { ratePerSecond: limit?.ratePerSecond, burst: limit?.burst, hosts: this.#hosts.length, ...this.#exchange.describe(organisation, this.#options.clock.readTime()) }
  }

  /** Handles an exchange as budget home: adds the deposits to the pool and returns the tokens granted from it. */
  handleExchange (deposits: TokenAmounts, wants: TokenAmounts): TokenAmounts {
    const now = this.#options.clock.readTime()
    const reach = this.#listUsableHosts().length / Math.max(1, this.#hosts.length)
    for (const [name, tokens] of Object.entries(deposits)) this.#pool.deposit(name, tokens, this.#exchange.readHomeLimits(name, reach, now), now)
    return Object.fromEntries(Object.entries(wants).map(([name, wanted]) => [name, this.#pool.take(name, wanted, this.#exchange.readHomeLimits(name, reach, now), now)]))
  }

  /** Called when this host leaves: the other hosts no longer count it, and they accrue its share. */
  stopAccruing (): void {
    this.#isLeaving = true
    this.#exchange.stopAccruing(this.#options.clock.readTime())
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
    for (const { resolve } of this.#waiters.splice(0)) resolve(false)
  }

  #updateLimits (): void {
    this.#exchange.updateLimits(this.#organisations, this.#hosts.length, this.#options.clock.readTime())
  }

  #startExchangeSoon (): void {
    const delayMs = Math.max(0, this.#exchangedAt + MINIMUM_EXCHANGE_INTERVAL_MS - this.#options.clock.readTime())
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => { this.#runExchange() }, delayMs)
  }

  #runExchange (): void {
    if (this.#isClosed) return
    const now = this.#options.clock.readTime()
    this.#exchangedAt = now
    const homes = this.#listHomes()
    const isDepositDue = now - this.#depositedAt >= DEPOSIT_INTERVAL_MS
    if (isDepositDue) this.#depositedAt = now
    const request = this.#exchange.takeExchangeRequest(now, isDepositDue, (name) => homes[computeHash(name) % homes.length])
    if (this.#isLeaving) this.#addPoolToDeposits(request, now)
    for (const [home, homeRequest] of this.#splitByHome(request, homes)) void this.#exchangeWithHome(home, homeRequest)
    this.#serveWaiters()
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => { this.#runExchange() }, this.#waiters.length > 0 ? MINIMUM_EXCHANGE_INTERVAL_MS : Object.keys(request.wants).length > 0 ? EXCHANGE_INTERVAL_MS : DEPOSIT_INTERVAL_MS)
  }

  /** Moves the pool to the new budget home: the other hosts no longer choose this host, so their deposits must be available there. */
  #addPoolToDeposits ({ deposits }: ExchangeRequest, now: number): void {
    if (this.#hosts.length === 1) return
    for (const [name, { burst }] of this.#organisations) {
      // A leaving home lends nothing: only tokens that it holds are moved.
      const tokens = Number.isFinite(burst) ? this.#pool.take(name, burst, { ...this.#exchange.readHomeLimits(name, 1, now), credit: 0 }, now) : 0
      if (tokens > 0) deposits[name] = (deposits[name] ?? 0) + tokens
    }
  }

  #serveWaiters (): void {
    const now = this.#options.clock.readTime()
    this.#waiters = this.#waiters.filter(({ organisation, resolve, deadline }) => {
      const isTaken = this.#exchange.retryTake(organisation, now)
      if (!isTaken && deadline <= now) this.#exchange.stopWaiting(organisation)
      if (isTaken || deadline <= now) resolve(isTaken)
      return !isTaken && deadline > now
    })
  }

  async #exchangeWithHome (home: HostRecord, { deposits, wants }: ExchangeRequest): Promise<void> {
    const { self, links, clock, logger } = this.#options
    if (home.host === self) {
      this.#exchange.applyGrants(this.handleExchange(deposits, wants), clock.readTime())
      this.#serveWaiters()
      return
    }
    const link = links.find(home)
    if (!await link.prepare()) {
      this.#exchange.applyGrants(deposits, clock.readTime())
      return
    }
    try {
      const { grants } = await link.request(budgetExchange, { deposits, wants }, EXCHANGE_TIMEOUT_MS)
      this.#exchange.applyGrants(grants, clock.readTime())
      this.#serveWaiters()
    } catch (error) {
      // The home may have received the deposits, so they are not credited back; this can only lower the admitted rate.
      logger.warn('budget exchange failed', { home: home.host, reason: String((error as Error).message) })
    }
  }

  #splitByHome (request: ExchangeRequest, homes: readonly HostRecord[]): Map<HostRecord, ExchangeRequest> {
    const requests = new Map<HostRecord, ExchangeRequest>()
    const add = (kind: keyof ExchangeRequest): void => {
      for (const [name, tokens] of Object.entries(request[kind])) {
        const home = homes[computeHash(name) % homes.length]
        if (home === undefined) continue
        const homeRequest = requests.get(home) ?? { deposits: {}, wants: {} }
        homeRequest[kind][name] = tokens
        requests.set(home, homeRequest)
      }
    }
    add('deposits')
    add('wants')
    return requests
  }

  #listHomes (): HostRecord[] {
    const usable = this.#listUsableHosts()
    const order = computeRendezvousOrder('budget homes', usable.map(({ host }) => host))
    const chosen = order.slice(0, Math.max(1, Math.ceil(this.#hosts.length / HOSTS_PER_HOME)))
    return chosen.flatMap((host) => usable.find((record) => record.host === host) ?? [])
  }

  /** Returns the hosts that can be a budget home as seen from this host. */
  #listUsableHosts (): HostRecord[] {
    const { self, links } = this.#options
    return this.#hosts.filter((record) => record.host === self ? !this.#isLeaving || this.#hosts.length === 1 : links.find(record).readDownMs() === 0)
  }
}
