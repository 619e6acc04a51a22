interface Grant {
  id: string
  tokens: number
  expiresAt: number
}

interface CreateOptions {
  /** Use that one request for tokens should cover. */
  coverMs: number
}

const DEMAND_WINDOW_MS = 1000
const MINIMUM_WANTED = 4

/** Tokens of one organisation that this entry holds, and the use they are sized by. */
export class LocalGrants {
  readonly #coverMs: number
  #grants: Grant[] = []
  #demandPerSecond = 0
  #used = 0
  #windowStart: number | undefined
  #retryAt = Number.NEGATIVE_INFINITY

  private constructor ({ coverMs }: CreateOptions) {
    this.#coverMs = coverMs
  }

  static create (options: CreateOptions): LocalGrants {
    return new LocalGrants(options)
  }

  get demandPerSecond (): number {
    return this.#demandPerSecond
  }

  get retryAt (): number {
    return this.#retryAt
  }

  /** Takes `count` tokens, all or none. Tokens that lapse first are spent first. */
  take (count: number, now: number): boolean {
    if (this.countTokens(now) < count) return false
    let left = count
    for (const grant of this.#grants) {
      const spent = Math.min(left, grant.tokens)
      grant.tokens -= spent
      left -= spent
      if (left <= 0) break
    }
    return true
  }

  countTokens (now: number): number {
    let tokens = 0
    let isLapsed = false
    for (const grant of this.#grants) {
      if (grant.expiresAt > now && grant.tokens > 0) tokens += grant.tokens
      else isLapsed = true
    }
    if (isLapsed) this.#grants = this.#grants.filter(({ expiresAt, tokens: remaining }) => expiresAt > now && remaining > 0)
    return tokens
  }

  recordDemand (count: number, now: number): void {
    this.#windowStart ??= now
    this.#used += count
    const elapsedMs = now - this.#windowStart
    if (elapsedMs < DEMAND_WINDOW_MS / 4) return
    const weight = Math.min(1, elapsedMs / DEMAND_WINDOW_MS)
    this.#demandPerSecond += weight * (this.#used * 1000 / elapsedMs - this.#demandPerSecond)
    this.#used = 0
    this.#windowStart = now
  }

  /** Tokens to ask for now; 0 when those at hand cover the use, or when there were none a moment ago. */
  computeWanted (waiting: number, now: number): number {
    if (now < this.#retryAt) return 0
    const cover = Math.max(MINIMUM_WANTED, Math.ceil(this.#demandPerSecond * this.#coverMs / 1000))
    const tokens = this.countTokens(now)
    return waiting > 0 || tokens < cover / 2 ? Math.max(1, Math.ceil(waiting + cover - tokens)) : 0
  }

  /** `sentAt` is when the tokens were asked for: they lapse counted from then. */
  addGrant ({ grantId, tokens, validMs, retryAfterMs }: { grantId: string, tokens: number, validMs: number, retryAfterMs: number }, sentAt: number, now: number): void {
    if (tokens > 0) this.#grants.push({ id: grantId, tokens, expiresAt: sentAt + validMs })
    this.#grants.sort((left, right) => left.expiresAt - right.expiresAt)
    this.#retryAt = retryAfterMs > 0 ? now + retryAfterMs : Number.NEGATIVE_INFINITY
  }

  delayRequests (until: number): void {
    this.#retryAt = until
  }

  /** Removes and returns all unspent tokens. */
  takeAll (now: number): Array<{ grantId: string, tokens: number }> {
    const unspent = this.#grants.filter(({ expiresAt, tokens }) => expiresAt > now && tokens > 0)
    this.#grants = []
    return unspent.map(({ id, tokens }) => ({ grantId: id, tokens }))
  }
}
