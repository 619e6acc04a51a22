interface CreateOptions {
  perSecond: number
  burstSeconds: number
}

/** Token bucket that limits the calls per second of all callers together. */
export class CallRateLimiter {
  readonly #perSecond: number
  readonly #capacity: number
  #tokens: number
  #updatedAt: number | undefined

  private constructor ({ perSecond, burstSeconds }: CreateOptions) {
    this.#perSecond = perSecond
    this.#capacity = Math.max(1, perSecond * burstSeconds)
    this.#tokens = this.#capacity
  }

  static create (options: CreateOptions): CallRateLimiter {
    return new CallRateLimiter(options)
  }

  /** Takes the token of one call, or returns false when no whole token is left. `now` is in monotonic milliseconds. */
  take (now: number): boolean {
    const elapsed = this.#updatedAt === undefined ? 0 : now - this.#updatedAt
    this.#tokens = Math.min(this.#capacity, this.#tokens + elapsed * this.#perSecond / 1000)
    this.#updatedAt = now
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
