interface CreateOptions {
  delayMs: number
  maximumHeld: number
}

/**
 * Delays the answers to failed log-ins. The bound is on failed log-ins alone and belongs to no organisation or address,
 * so that nobody's guessing, also from behind the same balancer, keeps a caller with a right key out.
 */
export class FailureHold {
  readonly #options: CreateOptions
  readonly #timers = new Set<NodeJS.Timeout>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): FailureHold {
    return new FailureHold(options)
  }

  /** Runs `answer` after the delay. False: too many are held; the connection must be closed without an answer. */
  hold (answer: () => void): boolean {
    if (this.#timers.size >= this.#options.maximumHeld) return false
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      answer()
    }, this.#options.delayMs)
    this.#timers.add(timer)
    return true
  }

  close (): void {
    for (const timer of this.#timers) clearTimeout(timer)
    this.#timers.clear()
  }
}
