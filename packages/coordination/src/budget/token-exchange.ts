import type { ExchangeRequest } from './exchange-request.js'
import { computeHomeCapacity } from './compute-home-capacity.js'
import { LOCAL_BURST_FRACTION } from './local-burst-fraction.js'
import { planSmallRate } from './plan-small-rate.js'
import { TOKEN_ROUNDING_TOLERANCE } from './token-rounding-tolerance.js'

interface Limit { ratePerSecond: number, burst: number }

type SmallRatePlan = ReturnType<typeof planSmallRate>

interface Holding {
  tokens: number
  accruedAt: number
  demand: number
  demandUpdatedAt: number
  /** Number of requests that wait for a token at this host. */
  waiting: number
  /** Time until which a request to the home is in flight. It is not repeated before, since the home would grant twice. */
  requestedUntil: number
  hasDeposited: boolean
}

interface CreateOptions {
  /** Time at which the host started. Tokens accrue from then on, so that a restart does not allow the burst again. */
  startedAt: number
  /** Number of requests over the rate that all hosts together may admit once, before accrued tokens cover them. */
  overdraft?: number
  /** Position of this host's first deposit of a small rate, from 0 to 1. Different positions keep hosts that start together out of step. */
  phase?: number
  /** Decides how small rates are held. Only the model check replaces it. */
  planRate?: (options: Parameters<typeof planSmallRate>[0]) => SmallRatePlan
}

/** Time constant of the exponential average of demand. */
const DEMAND_AVERAGING_MS = 500
/** A host holds tokens for its own demand over this time, so that two exchanges may fail before it has none left. */
const RESERVE_MS = 600
/** Requests per second below which a host holds no tokens. */
const MIN_DEMAND_PER_SECOND = 1
/** Smaller amounts are not sent, since they are not worth a message. */
const MIN_TRANSFER_TOKENS = 0.05
/** Rate at which the credit of a new home grows after its start. This is the tolerance, so that changes of homes in a row stay within it. */
const CREDIT_RATE_FRACTION = 0.1
/** Smaller remainders are not sent with a request for a token; they are rounding errors. */
const MIN_REMAINDER_TOKENS = 1e-6
/** Time after which a request for a token counts as lost. Longer than a round trip between regions with one delayed message. */
const REQUEST_TIMEOUT_MS = 100
/** Fraction of a small rate from which on the demand of one host is worth a reserve; a reserve for less keeps tokens from other hosts. */
const MIN_RESERVE_FRACTION = 0.5
/** Minimum deposit when a host's part of the burst is below one token, as in a large fleet. */
const MIN_LARGE_FLEET_DEPOSIT = 0.4
/** A host deposits small amounts too until this time after its start: when all hosts start together, the home has no tokens yet. */
const STARTUP_MS = 3000

/**
 * Holds the tokens of one host for every organisation. A host accrues 1/N of each rate, deposits the tokens that it does not
 * need at the budget home of the organisation and requests missing ones from there. Messages move tokens but never create
 * them, so a lost message, a network partition or two homes at the same time can lower the admitted rate but not raise it.
 *
 * The exchange serves organisations whose callers all reach one host: a static split would reject most of their requests.
 */
export class TokenExchange {
  readonly #startedAt: number
  readonly #overdraft: number
  readonly #phase: number
  readonly #planRate: NonNullable<CreateOptions['planRate']>
  readonly #plans = new Map<string, SmallRatePlan>()
  readonly #holdings = new Map<string, Holding>()
  #limits: ReadonlyMap<string, Limit> = new Map()
  #hosts = 0
  #isAccruing = true

  private constructor ({ startedAt, overdraft = 0, phase = 0.5, planRate = planSmallRate }: CreateOptions) {
    this.#planRate = planRate
    this.#startedAt = startedAt
    this.#overdraft = overdraft
    this.#phase = phase
  }

  static create (options: CreateOptions): TokenExchange {
    return new TokenExchange(options)
  }

  /** Sets the limits and the number of hosts. Tokens accrue at the previous rate up to `now`. */
  updateLimits (limits: ReadonlyMap<string, Limit>, hosts: number, now: number): void {
    for (const name of this.#holdings.keys()) this.#updateHolding(name, now)
    this.#limits = limits
    this.#hosts = hosts
    this.#plans.clear()
    for (const [name, limit] of limits) this.#plans.set(name, this.#planRate({ ...limit, hosts, overdraft: this.#overdraft }))
    for (const [name, holding] of this.#holdings) holding.tokens = Math.min(holding.tokens, limits.get(name)?.burst ?? 0)
    for (const name of this.#holdings.keys()) if (!limits.has(name)) this.#holdings.delete(name)
    for (const name of limits.keys()) this.#updateHolding(name, now)
  }

  /** Stops accruing on a leaving host, which then uses only held and granted tokens: the other hosts already divide the whole rate. */
  stopAccruing (now: number): void {
    for (const name of this.#limits.keys()) this.#updateHolding(name, now)
    this.#isAccruing = false
  }

  /** Records the demand of a request and takes a token for it. Returns false when none is held. */
  take (organisation: string, now: number): boolean {
    const holding = this.#updateHolding(organisation, now)
    if (holding === undefined) return false
    holding.demand = readDemand(holding, now) + 1000 / DEMAND_AVERAGING_MS
    holding.demandUpdatedAt = now
    const isTaken = this.#takeToken(holding, this.#plans.get(organisation))
    if (!isTaken) holding.waiting++
    return isTaken
  }

  /** Takes a token for a waiting request whose demand `take` has already recorded. */
  retryTake (organisation: string, now: number): boolean {
    const holding = this.#updateHolding(organisation, now)
    if (holding === undefined || !this.#takeToken(holding, this.#plans.get(organisation))) return false
    holding.waiting = Math.max(0, holding.waiting - 1)
    return true
  }

  /** Ends the wait of a request that `take` has refused a token. */
  stopWaiting (organisation: string): void {
    const holding = this.#holdings.get(organisation)
    if (holding !== undefined) holding.waiting = Math.max(0, holding.waiting - 1)
  }

  /** Returns the token of a request that no database ran. */
  refund (organisation: string): void {
    const holding = this.#holdings.get(organisation)
    if (holding !== undefined) holding.tokens++
  }

  /** Returns the tokens held, the demand per second and the number of waiting requests. */
  describe (organisation: string, now: number): { tokens: number, demand: number, waiting: number } {
    const holding = this.#updateHolding(organisation, now)
    return { tokens: holding?.tokens ?? 0, demand: holding === undefined ? 0 : readDemand(holding, now), waiting: holding?.waiting ?? 0 }
  }

  /**
   * Returns what this host may keep and lend as budget home while it reaches `reach` (0 to 1) of the hosts. Parts of the fleet that
   * do not reach each other have a home each, so that together they keep and lend no more than one home does.
   */
  readHomeLimits (organisation: string, reach: number, now: number): { capacity: number, credit: number, creditPerSecond: number } {
    const { ratePerSecond, burst } = this.#limits.get(organisation) ?? { ratePerSecond: 0, burst: 0 }
    const plan = this.#plans.get(organisation)
    const wholeCapacity = computeHomeCapacity({ ratePerSecond, burst, hosts: this.#hosts, overdraft: this.#overdraft })
    const capacity = reach === 0 ? 0 : reach * wholeCapacity
    if (plan === undefined) return { capacity: Math.max(1, capacity), credit: 0, creditPerSecond: 0 }
    const creditPerSecond = ratePerSecond * (now - this.#startedAt < STARTUP_MS ? 1 : CREDIT_RATE_FRACTION)
    return { capacity, credit: reach * plan.credit, creditPerSecond: reach * creditPerSecond }
  }

  /**
   * Builds the next request to the budget homes and removes its deposits from the holdings. An empty request need not be sent.
   * `findHome` tells which organisations share a message.
   */
  takeExchangeRequest (now: number, withDeposits: boolean, findHome: (organisation: string) => unknown = () => undefined): ExchangeRequest {
    const request: ExchangeRequest = { deposits: {}, wants: {} }
    const additional: Array<{ name: string, holding: Holding, reserve: number }> = []
    for (const [name, { ratePerSecond, burst }] of this.#limits) {
      const holding = this.#updateHolding(name, now)
      if (holding === undefined || !Number.isFinite(ratePerSecond)) continue
      const plan = this.#plans.get(name)
      if (plan === undefined) {
        this.#addTransfer(request, name, holding, burst, withDeposits, now)
        continue
      }
      const reserve = computeSmallRateReserve(holding, ratePerSecond, now)
      if (holding.waiting > Math.floor(holding.tokens) || reserve > holding.tokens + MIN_TRANSFER_TOKENS) {
        if (holding.requestedUntil <= now) addRemainderAndWant(request, name, holding, reserve, now)
      } else if (withDeposits && holding.tokens - reserve >= plan.depositTokens * (holding.hasDeposited ? 1 : this.#phase)) depositAbove(request, name, holding, reserve)
      else if (withDeposits && holding.tokens - reserve >= plan.depositTokens / 2) additional.push({ name, holding, reserve })
    }
    // Smaller deposits are added only to a message that is sent anyway: the organisations of a host then stay in step, in few messages.
    const homes = new Set([...Object.keys(request.deposits), ...Object.keys(request.wants)].map(findHome))
    for (const { name, holding, reserve } of additional) if (homes.has(findHome(name))) depositAbove(request, name, holding, reserve)
    return request
  }

  applyGrants (grants: Readonly<Record<string, number>>, now: number): void {
    for (const [name, tokens] of Object.entries(grants)) {
      const holding = this.#updateHolding(name, now)
      if (holding === undefined) continue
      holding.tokens += tokens
      holding.requestedUntil = -Infinity
    }
  }

  #addTransfer (request: ExchangeRequest, name: string, holding: Holding, burst: number, withDeposits: boolean, now: number): void {
    const wanted = computeReserve(holding, now)
    const minDeposit = now - this.#startedAt < STARTUP_MS || burst * LOCAL_BURST_FRACTION >= this.#hosts ? MIN_TRANSFER_TOKENS : MIN_LARGE_FLEET_DEPOSIT
    if (wanted - holding.tokens > MIN_TRANSFER_TOKENS) request.wants[name] = wanted - holding.tokens
    else if (withDeposits && holding.tokens - wanted > minDeposit) depositAbove(request, name, holding, wanted)
  }

  #takeToken (holding: Holding, plan: SmallRatePlan): boolean {
    // The overdraft of a small rate is lent by the home: divided by many hosts it is a fraction that admits nothing.
    const overdraft = plan === undefined ? Math.min(1, this.#overdraft / this.#hosts) : TOKEN_ROUNDING_TOLERANCE
    if (holding.tokens + overdraft < 1) return false
    holding.tokens--
    return true
  }

  #updateHolding (organisation: string, now: number): Holding | undefined {
    const limit = this.#limits.get(organisation)
    if (limit === undefined || this.#hosts === 0) return undefined
    const holding = this.#holdings.get(organisation) ?? { tokens: 0, accruedAt: this.#startedAt, demand: 0, demandUpdatedAt: now, waiting: 0, requestedUntil: -Infinity, hasDeposited: false }
    this.#holdings.set(organisation, holding)
    const accrued = !this.#isAccruing ? 0 : limit.ratePerSecond / this.#hosts * Math.max(0, now - holding.accruedAt) / 1000
    const ceiling = this.#plans.get(organisation)?.ceiling ?? Math.max(1, limit.burst * LOCAL_BURST_FRACTION / this.#hosts, computeReserve(holding, now))
    holding.accruedAt = now
    // The ceiling limits only accrual: granted tokens above it are kept until the next exchange.
    if (holding.tokens < ceiling) holding.tokens = Math.min(holding.tokens + accrued, ceiling)
    return holding
  }
}

/** Returns the number of tokens that a host should hold for its demand. */
function computeReserve (holding: Holding, now: number): number {
  const demand = readDemand(holding, now)
  return demand < MIN_DEMAND_PER_SECOND ? 0 : demand * RESERVE_MS / 1000 + 1
}

/**
 * Returns the number of tokens that a host should hold of a small rate: one for each waiting request, and for its demand only when
 * most of the organisation's callers reach it.
 */
function computeSmallRateReserve (holding: Holding, ratePerSecond: number, now: number): number {
  const demand = readDemand(holding, now)
  return Math.max(holding.waiting, demand < ratePerSecond * MIN_RESERVE_FRACTION ? 0 : demand * RESERVE_MS / 1000)
}

/** Requests whole tokens and deposits the remainder with the same message, since fractions at many hosts admit no request. */
function addRemainderAndWant (request: ExchangeRequest, name: string, holding: Holding, reserve: number, now: number): void {
  const kept = Math.floor(holding.tokens)
  const remainder = holding.tokens - kept
  if (remainder > MIN_REMAINDER_TOKENS) depositAbove(request, name, holding, kept)
  request.wants[name] = Math.ceil(reserve) - kept
  holding.requestedUntil = now + REQUEST_TIMEOUT_MS
}

function depositAbove (request: ExchangeRequest, name: string, holding: Holding, kept: number): void {
  request.deposits[name] = holding.tokens - kept
  holding.tokens = kept
  holding.hasDeposited = true
}

function readDemand (holding: Holding, now: number): number {
  return holding.demand * Math.exp(-Math.max(0, now - holding.demandUpdatedAt) / DEMAND_AVERAGING_MS)
}
