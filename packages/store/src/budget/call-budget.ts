interface CreateOptions {
  perSecond: number
  burstSeconds: number
}

/** Token bucket that limits calls per second over all callers. */
export class CallBudget {
  readonly #perSecond: number
  readonly #capacity: number
  #tokens: number
  #updatedAt: number | undefined

  private constructor ({ perSecond, burstSeconds }: CreateOptions) {
    this.#perSecond = perSecond
    this.#capacity = Math.max(1, perSecond * burstSeconds)
    this.#tokens = this.#capacity
  }

  static create (options: CreateOptions): CallBudget {
    return new CallBudget(options)
  }

  /** Takes one call; false when none is left. `now` is in monotonic milliseconds. */
  take (now: number): boolean {
    const elapsed = this.#updatedAt === undefined ? 0 : now - this.#updatedAt
    this.#tokens = Math.min(this.#capacity, this.#tokens + elapsed * this.#perSecond / 1000)
    this.#updatedAt = now
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
