interface Grant { id: string, tokens: number, receivedAt: number, lapsesAt: number }

interface ClosedGrant { grantId: string, unspent: number, lapsesAt: number }

interface Holding {
  grants: Grant[]
  closed: ClosedGrant[]
  /** Tokens per second that callers ask for, exponentially averaged. */
  demand: number
  demandAt: number
  waiting: number
  pending: { requestId: number, sentAt: number, closed: ClosedGrant[] } | undefined
  nextRequestAt: number
}

export type GrantHolderEffect =
  | { type: 'request', requestId: number, organisation: string, wanted: number, demandPerSecond: number, closed: Array<{ grantId: string, unspent: number }> }
  | { type: 'return', organisation: string, grantId: string, tokens: number }

interface GrantAnswer { grantId: string, tokens: number, validMs: number, retryAfterMs: number }

interface CreateOptions {
  /** Tokens are held for this much demand. */
  aheadMs?: number
  /** An organisation that took nothing for this long returns what it holds. */
  idleMs?: number
}

const DEMAND_TIME_MS = 500
const REQUEST_TIMEOUT_MS = 1000
const RETRY_AFTER_FAILURE_MS = 50
const MINIMUM_INTERVAL_MS = 5

/**
 * Holder's side of grants, used by the entry: takes one token for each request, asks ahead of need, returns what stays
 * unspent. A grant counts from before its request was sent, on this process's clock, so a late answer is worth less and a
 * very late one nothing.
 *
 * Use: `take` (or `updateWaiting` when callers wait), then carry out `listEffects`; hand the answer of a `request` to
 * `handleAnswer` or `handleFailure`; call `listEffects` again at `findNextDeadline`.
 */
export class GrantHolder {
  readonly #aheadMs: number
  readonly #idleMs: number
  readonly #holdings = new Map<string, Holding>()
  #requests = 0

  private constructor ({ aheadMs = 250, idleMs = 400 }: CreateOptions) {
    this.#aheadMs = aheadMs
    this.#idleMs = idleMs
  }

  static create (options: CreateOptions = {}): GrantHolder {
    return new GrantHolder(options)
  }

  /** Takes one token for a new request. False when none is at hand or others wait; the caller may wait and try again. */
  take (organisation: string, now: number): boolean {
    const holding = this.#find(organisation, now)
    recordDemand(holding, now)
    return holding.waiting === 0 && this.#spend(holding, now)
  }

  /** Takes a token for a request that waits and was counted by `take` before. */
  retryTake (organisation: string, now: number): boolean {
    return this.#spend(this.#find(organisation, now), now)
  }

  /** Number of requests that wait for a token now. */
  updateWaiting (organisation: string, waiting: number, now: number): void {
    this.#find(organisation, now).waiting = waiting
  }

  /** Tokens at hand. */
  countTokens (organisation: string, now: number): number {
    const holding = this.#find(organisation, now)
    dropLapsed(holding, now)
    return sumTokens(holding)
  }

  listEffects (now: number): GrantHolderEffect[] {
    return [...this.#holdings].flatMap(([organisation, holding]) => this.#listFor(organisation, holding, now))
  }

  handleAnswer (organisation: string, requestId: number, answer: GrantAnswer, now: number): void {
    const holding = this.#find(organisation, now)
    const pending = holding.pending
    if (pending?.requestId !== requestId) return
    holding.pending = undefined
    if (answer.tokens > 0 && answer.validMs > 0) {
      holding.grants.push({ id: answer.grantId, tokens: answer.tokens, receivedAt: now, lapsesAt: pending.sentAt + answer.validMs })
    }
    holding.nextRequestAt = now + Math.max(MINIMUM_INTERVAL_MS, answer.retryAfterMs)
  }

  handleFailure (organisation: string, requestId: number, now: number): void {
    const holding = this.#find(organisation, now)
    const pending = holding.pending
    if (pending?.requestId !== requestId) return
    holding.pending = undefined
    holding.closed.push(...pending.closed.filter(({ lapsesAt }) => lapsesAt > now))
    holding.nextRequestAt = now + RETRY_AFTER_FAILURE_MS
  }

  /** Returns everything, as on leaving. */
  close (now: number): GrantHolderEffect[] {
    return [...this.#holdings].flatMap(([organisation, holding]) => returnAll(organisation, holding, now))
  }

  /** Time at which `listEffects` may have something new; undefined when nothing is held or wanted. */
  findNextDeadline (): number | undefined {
    let deadline: number | undefined
    for (const holding of this.#holdings.values()) {
      const next = holding.pending !== undefined
        ? holding.pending.sentAt + REQUEST_TIMEOUT_MS
        : holding.waiting > 0 ? holding.nextRequestAt : holding.grants.length > 0 ? holding.demandAt + this.#idleMs : undefined
      if (next !== undefined && (deadline === undefined || next < deadline)) deadline = next
    }
    return deadline
  }

  #spend (holding: Holding, now: number): boolean {
    dropLapsed(holding, now)
    const grant = holding.grants[0]
    if (grant === undefined) return false
    grant.tokens--
    if (grant.tokens === 0) closeGrant(holding, grant)
    return true
  }

  #listFor (organisation: string, holding: Holding, now: number): GrantHolderEffect[] {
    dropLapsed(holding, now)
    if (holding.pending !== undefined && now - holding.pending.sentAt >= REQUEST_TIMEOUT_MS) this.handleFailure(organisation, holding.pending.requestId, now)
    if (holding.waiting === 0 && now - holding.demandAt >= this.#idleMs) return this.#dropIdle(organisation, holding, now)
    const demandPerSecond = readDemand(holding, now)
    const tokens = sumTokens(holding)
    const target = Math.max(1, Math.ceil(demandPerSecond * this.#aheadMs / 1000)) + holding.waiting
    if (holding.pending !== undefined || now < holding.nextRequestAt || tokens * 2 >= target) return []
    const closed = holding.closed
    holding.closed = []
    const requestId = ++this.#requests
    holding.pending = { requestId, sentAt: now, closed }
    return [{ type: 'request', requestId, organisation, wanted: target - tokens, demandPerSecond, closed: closed.map(({ grantId, unspent }) => ({ grantId, unspent })) }]
  }

  #dropIdle (organisation: string, holding: Holding, now: number): GrantHolderEffect[] {
    if (holding.pending === undefined) this.#holdings.delete(organisation)
    return returnAll(organisation, holding, now)
  }

  #find (organisation: string, now: number): Holding {
    const known = this.#holdings.get(organisation)
    if (known !== undefined) return known
    const holding: Holding = { grants: [], closed: [], demand: 0, demandAt: now, waiting: 0, pending: undefined, nextRequestAt: now }
    this.#holdings.set(organisation, holding)
    return holding
  }
}

function returnAll (organisation: string, holding: Holding, now: number): GrantHolderEffect[] {
  const grants = [...holding.grants.map(({ id, tokens, lapsesAt }) => ({ grantId: id, unspent: tokens, lapsesAt })), ...holding.closed]
  holding.grants = []
  holding.closed = []
  return grants.filter(({ lapsesAt }) => lapsesAt > now).map(({ grantId, unspent }) => ({ type: 'return', organisation, grantId, tokens: unspent }))
}

function closeGrant (holding: Holding, grant: Grant): void {
  holding.grants = holding.grants.filter((other) => other !== grant)
  holding.closed.push({ grantId: grant.id, unspent: 0, lapsesAt: grant.lapsesAt })
}

function dropLapsed (holding: Holding, now: number): void {
  if (holding.grants.some(({ lapsesAt }) => lapsesAt <= now)) holding.grants = holding.grants.filter(({ lapsesAt }) => lapsesAt > now)
  if (holding.closed.some(({ lapsesAt }) => lapsesAt <= now)) holding.closed = holding.closed.filter(({ lapsesAt }) => lapsesAt > now)
}

function sumTokens (holding: Holding): number {
  return holding.grants.reduce((sum, { tokens }) => sum + tokens, 0)
}

function recordDemand (holding: Holding, now: number): void {
  holding.demand = readDemand(holding, now) + 1000 / DEMAND_TIME_MS
  holding.demandAt = now
}

function readDemand (holding: Holding, now: number): number {
  return holding.demand * Math.exp(-Math.max(0, now - holding.demandAt) / DEMAND_TIME_MS)
}
