interface Grant { id: string, tokens: number, receivedAt: number, expiresAt: number }

interface ClosedGrant { grantId: string, unspent: number, expiresAt: number }

interface Holding {
  grants: Grant[]
  closed: ClosedGrant[]
  /** Tokens per second requested by callers, exponentially averaged. */
  demand: number
  demandUpdatedAt: number
  waiting: number
  pending: { requestId: number, sentAt: number, closed: ClosedGrant[] } | undefined
  nextRequestAt: number
}

export type GrantHolderEffect =
  | { type: 'request', requestId: number, organisation: string, wanted: number, demandPerSecond: number, closed: Array<{ grantId: string, unspent: number }> }
  | { type: 'return', organisation: string, grantId: string, tokens: number }

interface GrantResponse { grantId: string, tokens: number, validMs: number, retryAfterMs: number }

interface CreateOptions {
  /** Tokens are requested ahead for the demand of this time. */
  prefetchMs?: number
  /** Unspent tokens of an organisation without a request for this time are returned. */
  idleTimeoutMs?: number
}

const DEMAND_AVERAGING_MS = 500
const REQUEST_TIMEOUT_MS = 1000
const RETRY_AFTER_FAILURE_MS = 50
const MIN_REQUEST_INTERVAL_MS = 5

/**
 * Holds the grants of the entry process: takes one token for each request, requests tokens ahead of demand and returns
 * unspent ones. The validity of a grant starts when its request was sent, on the clock of this process, so a late response
 * leaves less time and a very late one none.
 *
 * Usage: call `take` (or `updateWaiting` when callers wait), then run the effects from `listEffects`; pass the response to a
 * `request` to `handleResponse`, or its failure to `handleFailure`; call `listEffects` again at `findNextDeadline`.
 */
export class GrantHolder {
  readonly #prefetchMs: number
  readonly #idleTimeoutMs: number
  readonly #holdings = new Map<string, Holding>()
  #lastRequestId = 0

  private constructor ({ prefetchMs = 250, idleTimeoutMs = 400 }: CreateOptions) {
    this.#prefetchMs = prefetchMs
    this.#idleTimeoutMs = idleTimeoutMs
  }

  static create (options: CreateOptions = {}): GrantHolder {
    return new GrantHolder(options)
  }

  /** Takes one token for a new request. Returns false when none is held or other requests wait; the caller may wait and use `retryTake`. */
  take (organisation: string, now: number): boolean {
    const holding = this.#findHolding(organisation, now)
    recordDemand(holding, now)
    return holding.waiting === 0 && this.#takeToken(holding, now)
  }

  /** Takes a token for a waiting request whose demand `take` has already recorded. */
  retryTake (organisation: string, now: number): boolean {
    return this.#takeToken(this.#findHolding(organisation, now), now)
  }

  /** Sets the number of requests that wait for a token. */
  updateWaiting (organisation: string, waiting: number, now: number): void {
    this.#findHolding(organisation, now).waiting = waiting
  }

  /** Returns the number of tokens held. */
  countTokens (organisation: string, now: number): number {
    const holding = this.#findHolding(organisation, now)
    removeExpired(holding, now)
    return sumTokens(holding)
  }

  listEffects (now: number): GrantHolderEffect[] {
    return [...this.#holdings].flatMap(([organisation, holding]) => this.#listOrganisationEffects(organisation, holding, now))
  }

  handleResponse (organisation: string, requestId: number, response: GrantResponse, now: number): void {
    const holding = this.#findHolding(organisation, now)
    const pending = holding.pending
    if (pending?.requestId !== requestId) return
    holding.pending = undefined
    if (response.tokens > 0 && response.validMs > 0) {
      holding.grants.push({ id: response.grantId, tokens: response.tokens, receivedAt: now, expiresAt: pending.sentAt + response.validMs })
    }
    holding.nextRequestAt = now + Math.max(MIN_REQUEST_INTERVAL_MS, response.retryAfterMs)
  }

  handleFailure (organisation: string, requestId: number, now: number): void {
    const holding = this.#findHolding(organisation, now)
    const pending = holding.pending
    if (pending?.requestId !== requestId) return
    holding.pending = undefined
    holding.closed.push(...pending.closed.filter(({ expiresAt }) => expiresAt > now))
    holding.nextRequestAt = now + RETRY_AFTER_FAILURE_MS
  }

  /** Returns all unspent tokens, for shutdown. */
  close (now: number): GrantHolderEffect[] {
    return [...this.#holdings].flatMap(([organisation, holding]) => returnAll(organisation, holding, now))
  }

  /** Returns the time at which `listEffects` may have new effects; undefined when no token is held or requested. */
  findNextDeadline (): number | undefined {
    let deadline: number | undefined
    for (const holding of this.#holdings.values()) {
      const next = holding.pending !== undefined
        ? holding.pending.sentAt + REQUEST_TIMEOUT_MS
        : holding.waiting > 0 ? holding.nextRequestAt : holding.grants.length > 0 ? holding.demandUpdatedAt + this.#idleTimeoutMs : undefined
      if (next !== undefined && (deadline === undefined || next < deadline)) deadline = next
    }
    return deadline
  }

  #takeToken (holding: Holding, now: number): boolean {
    removeExpired(holding, now)
    const grant = holding.grants[0]
    if (grant === undefined) return false
    grant.tokens--
    if (grant.tokens === 0) closeGrant(holding, grant)
    return true
  }

  #listOrganisationEffects (organisation: string, holding: Holding, now: number): GrantHolderEffect[] {
    removeExpired(holding, now)
    if (holding.pending !== undefined && now - holding.pending.sentAt >= REQUEST_TIMEOUT_MS) this.handleFailure(organisation, holding.pending.requestId, now)
    if (holding.waiting === 0 && now - holding.demandUpdatedAt >= this.#idleTimeoutMs) return this.#removeIdle(organisation, holding, now)
    const demandPerSecond = readDemand(holding, now)
    const tokens = sumTokens(holding)
    const target = Math.max(1, Math.ceil(demandPerSecond * this.#prefetchMs / 1000)) + holding.waiting
    if (holding.pending !== undefined || now < holding.nextRequestAt || tokens * 2 >= target) return []
    const closed = holding.closed
    holding.closed = []
    const requestId = ++this.#lastRequestId
    holding.pending = { requestId, sentAt: now, closed }
    return [{ type: 'request', requestId, organisation, wanted: target - tokens, demandPerSecond, closed: closed.map(({ grantId, unspent }) => ({ grantId, unspent })) }]
  }

  #removeIdle (organisation: string, holding: Holding, now: number): GrantHolderEffect[] {
    if (holding.pending === undefined) this.#holdings.delete(organisation)
    return returnAll(organisation, holding, now)
  }

  #findHolding (organisation: string, now: number): Holding {
    const known = this.#holdings.get(organisation)
    if (known !== undefined) return known
    const holding: Holding = { grants: [], closed: [], demand: 0, demandUpdatedAt: now, waiting: 0, pending: undefined, nextRequestAt: now }
    this.#holdings.set(organisation, holding)
    return holding
  }
}

function returnAll (organisation: string, holding: Holding, now: number): GrantHolderEffect[] {
  const grants = [...holding.grants.map(({ id, tokens, expiresAt }) => ({ grantId: id, unspent: tokens, expiresAt })), ...holding.closed]
  holding.grants = []
  holding.closed = []
  return grants.filter(({ expiresAt }) => expiresAt > now).map(({ grantId, unspent }) => ({ type: 'return', organisation, grantId, tokens: unspent }))
}

function closeGrant (holding: Holding, grant: Grant): void {
  holding.grants = holding.grants.filter((other) => other !== grant)
  holding.closed.push({ grantId: grant.id, unspent: 0, expiresAt: grant.expiresAt })
}

function removeExpired (holding: Holding, now: number): void {
  if (holding.grants.some(({ expiresAt }) => expiresAt <= now)) holding.grants = holding.grants.filter(({ expiresAt }) => expiresAt > now)
  if (holding.closed.some(({ expiresAt }) => expiresAt <= now)) holding.closed = holding.closed.filter(({ expiresAt }) => expiresAt > now)
}

function sumTokens (holding: Holding): number {
  return holding.grants.reduce((sum, { tokens }) => sum + tokens, 0)
}

function recordDemand (holding: Holding, now: number): void {
  holding.demand = readDemand(holding, now) + 1000 / DEMAND_AVERAGING_MS
  holding.demandUpdatedAt = now
}

function readDemand (holding: Holding, now: number): number {
  return holding.demand * Math.exp(-Math.max(0, now - holding.demandUpdatedAt) / DEMAND_AVERAGING_MS)
}
