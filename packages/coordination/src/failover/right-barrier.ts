interface CreateOptions {
  /** Incarnations of all hosts that may hold a right, read from the store after the claim was written. */
  holders: Iterable<string>
  /** When the answer to the write of the claim arrived. */
  claimedAt: number
  /** Limit of the rights; undefined: nobody needs to be waited for. */
  limitMs: number | undefined
}

/** For the way of the last statement, and for a store that answers a watch without the changes of the last moments before it drops its history. */
const ALLOWANCE_MS = 400

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
