import type { ExchangeOrder } from './exchange-order.js'

interface Limit { ratePerSecond: number, burst: number }

interface Holding { tokens: number, filledAt: number, demand: number, demandAt: number }

interface CreateOptions {
  /** Time of the start: a host accrues from here, so that a restart does not give the burst again. */
  startedAt: number
  /** Requests over the rate that all hosts together may admit once, before what they accrue covers them. */
  overdraft?: number
}

/** Demand is averaged over this time. */
const DEMAND_TIME_MS = 500
/** A host holds tokens for this much of its own demand; two exchanges may fail before it runs out. */
const HELD_MS = 600
/** Part of a burst that hosts with demand may hold; what nobody asks for lies with the budget home. */
const LOCAL_BURST_PART = 0.5
/** Requests per second below which a host holds nothing. */
const MINIMUM_DEMAND = 1
/** Smaller amounts are not worth a message. */
const MINIMUM_AMOUNT = 0.05
/** Tokens that must have gathered for a deposit where a host's part of the burst is below one token, as in a large fleet. */
const LEAST_DEPOSIT = 0.4
/** After its start a host deposits small amounts too: when all hosts start at once, the home has nothing to give. */
const START_MS = 3000

/**
 * One host's tokens of every organisation. A host accrues 1/N of each rate; what it does not need it deposits at the
 * organisation's budget home, and what it lacks it asks for there. Tokens are only moved and never made by a message, so a
 * lost message, a partition or two homes at a time can lower the admitted rate but not raise it.
 *
 * Answers the load in which an organisation's callers all reach one host: a static split would refuse most of them.
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

  /** Takes new limits or a new number of hosts. What accrued before counts at the former rate. */
  updateLimits (limits: ReadonlyMap<string, Limit>, hosts: number, now: number): void {
    for (const name of this.#holdings.keys()) this.#fill(name, now)
    this.#limits = limits
    this.#hosts = hosts
    for (const [name, holding] of this.#holdings) holding.tokens = Math.min(holding.tokens, limits.get(name)?.burst ?? 0)
    for (const name of this.#holdings.keys()) if (!limits.has(name)) this.#holdings.delete(name)
    for (const name of limits.keys()) this.#fill(name, now)
  }

  /** A host that leaves lives on what it holds and is granted: the others already divide the whole rate among themselves. */
  stopAccruing (now: number): void {
    for (const name of this.#limits.keys()) this.#fill(name, now)
    this.#isAccruing = false
  }

  /** Counts a request and takes its token. False when none is at hand. */
  take (organisation: string, now: number): boolean {
    const holding = this.#fill(organisation, now)
    if (holding === undefined) return false
    holding.demand = readDemand(holding, now) + 1000 / DEMAND_TIME_MS
    holding.demandAt = now
    return this.#spend(holding)
  }

  /** Takes a token for a request that was counted before and waited. */
  retryTake (organisation: string, now: number): boolean {
    const holding = this.#fill(organisation, now)
    return holding !== undefined && this.#spend(holding)
  }

  /** Gives back the token of a request that no database ran. */
  refund (organisation: string): void {
    const holding = this.#holdings.get(organisation)
    if (holding !== undefined) holding.tokens++
  }

  /** Tokens at hand and demand per second. */
  describe (organisation: string, now: number): { tokens: number, demand: number } {
    const holding = this.#fill(organisation, now)
    return { tokens: holding?.tokens ?? 0, demand: holding === undefined ? 0 : readDemand(holding, now) }
  }

  /** What to send to the budget homes now; deposits are taken out of the holdings. An order of nothing need not be sent. */
  takeOrder (now: number, withDeposits: boolean): ExchangeOrder {
    const order: ExchangeOrder = { deposits: {}, wants: {} }
    for (const [name, { ratePerSecond, burst }] of this.#limits) {
      const holding = this.#fill(name, now)
      if (holding === undefined || !Number.isFinite(ratePerSecond)) continue
      const wanted = computeWanted(holding, now)
      if (wanted - holding.tokens > MINIMUM_AMOUNT) order.wants[name] = wanted - holding.tokens
      else if (withDeposits && holding.tokens - wanted > (now - this.#startedAt < START_MS || burst * LOCAL_BURST_PART >= this.#hosts ? MINIMUM_AMOUNT : LEAST_DEPOSIT)) {
        order.deposits[name] = holding.tokens - wanted
        holding.tokens = wanted
      }
    }
    return order
  }

  applyGrants (grants: Readonly<Record<string, number>>, now: number): void {
    for (const [name, tokens] of Object.entries(grants)) {
      const holding = this.#fill(name, now)
      if (holding !== undefined) holding.tokens += tokens
    }
  }

  #spend (holding: Holding): boolean {
    if (holding.tokens + Math.min(1, this.#overdraft / this.#hosts) < 1) return false
    holding.tokens--
    return true
  }

  #fill (organisation: string, now: number): Holding | undefined {
    const limit = this.#limits.get(organisation)
    if (limit === undefined || this.#hosts === 0) return undefined
    const holding = this.#holdings.get(organisation) ?? { tokens: 0, filledAt: this.#startedAt, demand: 0, demandAt: now }
    this.#holdings.set(organisation, holding)
    const accrued = !this.#isAccruing ? 0 : limit.ratePerSecond / this.#hosts * Math.max(0, now - holding.filledAt) / 1000
    const ceiling = Math.max(1, limit.burst * LOCAL_BURST_PART / this.#hosts, computeWanted(holding, now))
    holding.filledAt = now
    // Granted tokens above the ceiling stay until the next exchange; only what accrues is limited.
    if (holding.tokens < ceiling) holding.tokens = Math.min(holding.tokens + accrued, ceiling)
    return holding
  }
}

/** Tokens that a host with this demand holds. */
function computeWanted (holding: Holding, now: number): number {
  const demand = readDemand(holding, now)
  return demand < MINIMUM_DEMAND ? 0 : demand * HELD_MS / 1000 + 1
}

function readDemand (holding: Holding, now: number): number {
  return holding.demand * Math.exp(-Math.max(0, now - holding.demandAt) / DEMAND_TIME_MS)
}
