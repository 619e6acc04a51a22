interface CreateOptions {
  /** A host that heard from neither the store nor a majority of hosts for this long stops serving callers. */
  limitMs?: number
}

/**
 * Age of the last confirmation that no newer configuration existed. A withdrawn key works no longer than this limit at a
 * host that is cut off. Confirmations count from before the confirming request was sent.
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

  /** Times only move forward: a late message with an older confirmation changes nothing. */
  recordConfirmation (confirmedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt)
  }

  /** Takes the age that another process told, at the time it was received. */
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
