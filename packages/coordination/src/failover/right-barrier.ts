interface CreateOptions {
  /** Incarnations of all hosts that may hold a right, read from the store after the claim was written. */
  holders: Iterable<string>
  /** When the answer to the write of the claim arrived. */
  claimedAt: number
  /** Limit of the rights; undefined: nobody needs to be waited for. */
  limitMs: number | undefined
}

/** Monotonic clocks run apart by far less in the few seconds of a limit; the rest is the way of the last statement. */
const ALLOWANCE_MS = 150

/**
 * When a promoter may go on: every holder has released its right, or the rights have run out. Answers the load of a failover
 * with all hosts in touch, where nobody waits for the limit, and of one whose owner was lost together with its primary.
 */
export class RightBarrier {
  readonly #holders: Set<string>
  readonly #expiresAt: number
  readonly #isNeeded: boolean

  private constructor ({ holders, claimedAt, limitMs }: CreateOptions) {
    this.#holders = new Set(holders)
    this.#isNeeded = limitMs !== undefined
    this.#expiresAt = claimedAt + (limitMs ?? 0) + ALLOWANCE_MS
  }

  static create (options: CreateOptions): RightBarrier {
    return new RightBarrier(options)
  }

  /** Holders that have not released their right yet. */
  get waiting (): string[] { return [...this.#holders] }

  recordRelease (incarnation: string): void {
    this.#holders.delete(incarnation)
  }

  isOpen (now: number): boolean {
    return !this.#isNeeded || this.#holders.size === 0 || now >= this.#expiresAt
  }
}
