interface CreateOptions {
  /** A host stops serving callers when neither the store nor a majority of hosts has confirmed its configuration for this time. */
  limitMs?: number
}

/**
 * Tracks the age of the last confirmation that the host's configuration was current. On a disconnected host a withdrawn key
 * works no longer than the limit. Confirmations count from before the confirming request was sent.
 */
export class KeyFreshness {
  readonly #limitMs: number
  #confirmedAt = -Infinity

  private constructor ({ limitMs = 10_000 }: CreateOptions) {
    this.#limitMs = limitMs
  }

  static create (options: CreateOptions = {}): KeyFreshness {
    return new KeyFreshness(options)
  }

  /** Keeps the latest time: a delayed message with an older confirmation has no effect. */
  recordConfirmation (confirmedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt)
  }

  /** Records the age of a confirmation that another process reported, as of the time it was received. */
  recordAge (ageMs: number, receivedAt: number): void {
    this.recordConfirmation(receivedAt - ageMs)
  }

  readAge (now: number): number {
    return now - this.#confirmedAt
  }

  isFresh (now: number): boolean {
    return this.readAge(now) < this.#limitMs
  }

  findNextDeadline (): number | undefined {
    return Number.isFinite(this.#confirmedAt) ? this.#confirmedAt + this.#limitMs : undefined
  }
}
