import type { ExchangeRequest } from './exchange-request.js'

interface Limit { ratePerSecond: number, burst: number }

interface Holding { tokens: number, accruedAt: number, demand: number, demandUpdatedAt: number }

interface CreateOptions {
  /** Time at which the host started. Tokens accrue from then on, so that a restart does not allow the burst again. */
  startedAt: number
  /** Number of requests over the rate that all hosts together may admit once, before accrued tokens cover them. */
  overdraft?: number
}

/** Time constant of the exponential average of demand. */
const DEMAND_AVERAGING_MS = 500
/** A host holds tokens for its own demand over this time, so that two exchanges may fail before it has none left. */
const RESERVE_MS = 600
/** Fraction of a burst that the hosts may hold together, unless their reserves are larger; the budget home keeps tokens without demand. */
const LOCAL_BURST_FRACTION = 0.5
/** Requests per second below which a host holds no tokens. */
const MIN_DEMAND_PER_SECOND = 1
/** Smaller amounts are not sent, since they are not worth a message. */
const MIN_TRANSFER_TOKENS = 0.05
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
  readonly #holdings = new Map<string, Holding>()
  #limits: ReadonlyMap<string, Limit> = new Map()
  #hosts = 0
  #isAccruing = true

  private constructor ({ startedAt, overdraft = 0 }: CreateOptions) {
    this.#startedAt = startedAt
    this.#overdraft = overdraft
  }

  static create (options: CreateOptions): TokenExchange {
    return new TokenExchange(options)
  }

  /** Sets the limits and the number of hosts. Tokens accrue at the previous rate up to `now`. */
  updateLimits (limits: ReadonlyMap<string, Limit>, hosts: number, now: number): void {
    for (const name of this.#holdings.keys()) this.#updateHolding(name, now)
    this.#limits = limits
    this.#hosts = hosts
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
    return this.#takeToken(holding)
  }

  /** Takes a token for a waiting request whose demand `take` has already recorded. */
  retryTake (organisation: string, now: number): boolean {
    const holding = this.#updateHolding(organisation, now)
    return holding !== undefined && this.#takeToken(holding)
  }

  /** Returns the token of a request that no database ran. */
  refund (organisation: string): void {
    const holding = this.#holdings.get(organisation)
    if (holding !== undefined) holding.tokens++
  }

  /** Returns the tokens held and the demand per second. */
  describe (organisation: string, now: number): { tokens: number, demand: number } {
    const holding = this.#updateHolding(organisation, now)
    return { tokens: holding?.tokens ?? 0, demand: holding === undefined ? 0 : readDemand(holding, now) }
  }

  /** Builds the next request to the budget homes and removes its deposits from the holdings. An empty request need not be sent. */
  takeExchangeRequest (now: number, withDeposits: boolean): ExchangeRequest {
    const request: ExchangeRequest = { deposits: {}, wants: {} }
    for (const [name, { ratePerSecond, burst }] of this.#limits) {
      const holding = this.#updateHolding(name, now)
      if (holding === undefined || !Number.isFinite(ratePerSecond)) continue
      const wanted = computeReserve(holding, now)
      if (wanted - holding.tokens > MIN_TRANSFER_TOKENS) request.wants[name] = wanted - holding.tokens
      else if (withDeposits && holding.tokens - wanted > (now - this.#startedAt < STARTUP_MS || burst * LOCAL_BURST_FRACTION >= this.#hosts ? MIN_TRANSFER_TOKENS : MIN_LARGE_FLEET_DEPOSIT)) {
        request.deposits[name] = holding.tokens - wanted
        holding.tokens = wanted
      }
    }
    return request
  }

  applyGrants (grants: Readonly<Record<string, number>>, now: number): void {
    for (const [name, tokens] of Object.entries(grants)) {
      const holding = this.#updateHolding(name, now)
      if (holding !== undefined) holding.tokens += tokens
    }
  }

  #takeToken (holding: Holding): boolean {
    if (holding.tokens + Math.min(1, this.#overdraft / this.#hosts) < 1) return false
    holding.tokens--
    return true
  }

  #updateHolding (organisation: string, now: number): Holding | undefined {
    const limit = this.#limits.get(organisation)
    if (limit === undefined || this.#hosts === 0) return undefined
    const holding = this.#holdings.get(organisation) ?? { tokens: 0, accruedAt: this.#startedAt, demand: 0, demandUpdatedAt: now }
    this.#holdings.set(organisation, holding)
    const accrued = !this.#isAccruing ? 0 : limit.ratePerSecond / this.#hosts * Math.max(0, now - holding.accruedAt) / 1000
    const ceiling = Math.max(1, limit.burst * LOCAL_BURST_FRACTION / this.#hosts, computeReserve(holding, now))
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

function readDemand (holding: Holding, now: number): number {
  return holding.demand * Math.exp(-Math.max(0, now - holding.demandUpdatedAt) / DEMAND_AVERAGING_MS)
}
