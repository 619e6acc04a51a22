interface CreateOptions {
  /** When the request that obtained or renewed the lease was sent, on the holder's clock. */
  sentAt: number
  durationMs: number
}

/**
 * A right limited in time. It counts from before the request was sent, on the holder's monotonic clock, so it ends at the
 * holder before it ends at the giver. Call `isValid` right before every effect: a process may be paused between any two
 * statements, so work that outlives the check must be fenced by the one who receives it.
 */
export class Lease {
  readonly #until: number

  private constructor ({ sentAt, durationMs }: CreateOptions) {
    this.#until = sentAt + durationMs
  }

  static create (options: CreateOptions): Lease {
    return new Lease(options)
  }

  get until (): number { return this.#until }

  isValid (now: number): boolean {
    return now < this.#until
  }
}
