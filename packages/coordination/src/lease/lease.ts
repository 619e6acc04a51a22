interface CreateOptions {
  /** When the request that obtained or renewed the lease was sent, on the holder's clock. */
  sentAt: number
  durationMs: number
}

/**
 * Time-limited lease. Its duration counts from the time when the request was sent, on the holder's monotonic clock, so it expires at
 * the holder before it expires at the grantor. Call `isValid` immediately before every effect. A process may be paused between any
 * two statements, so the receiver must fence work that arrives after the lease has expired.
 */
export class Lease {
  readonly #expiresAt: number

  private constructor ({ sentAt, durationMs }: CreateOptions) {
    this.#expiresAt = sentAt + durationMs
  }

  static create (options: CreateOptions): Lease {
    return new Lease(options)
  }

  get expiresAt (): number { return this.#expiresAt }

  isValid (now: number): boolean {
    return now < this.#expiresAt
  }
}
