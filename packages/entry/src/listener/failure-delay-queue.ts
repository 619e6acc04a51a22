interface CreateOptions {
  delayMs: number
  maximumDelayed: number
}

/**
 * Delays the responses to failed log-ins. The limit counts failed log-ins only, of all organisations and addresses together, so
 * that attempts to guess a key, also from behind the same load balancer, never lock out a caller with a valid key.
 */
export class FailureDelayQueue {
  readonly #options: CreateOptions
  readonly #timers = new Set<NodeJS.Timeout>()

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): FailureDelayQueue {
    return new FailureDelayQueue(options)
  }

  /** Runs `sendResponse` after the delay. Returns false when the queue is full; the connection must then be closed without a response. */
  add (sendResponse: () => void): boolean {
    if (this.#timers.size >= this.#options.maximumDelayed) return false
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      sendResponse()
    }, this.#options.delayMs)
    this.#timers.add(timer)
    return true
  }

  close (): void {
    for (const timer of this.#timers) clearTimeout(timer)
    this.#timers.clear()
  }
}
