interface CreateOptions {
  /** Incarnations of all hosts that may hold a lease, read from the store after the claim was written. */
  holders: Iterable<string>
  /** When the response to the write of the claim was received. */
  claimedAt: number
  /** Whether hosts may hold a lease that are not among `holders`, because the store lost their records. Their leases expire. */
  areHoldersIncomplete?: boolean
  /** Longest time in ms for which a lease is valid without confirmation; undefined when leases need not be waited for. */
  limitMs: number | undefined
}

/**
 * Covers the delivery of the last statement, and a store that omits the most recent changes from a watch response just before it drops
 * its history.
 */
const EXPIRY_MARGIN_MS = 400

/**
 * Barrier that a promoter must pass before it promotes: every lease holder has released its lease, or all leases have expired. When
 * all hosts are reachable, the promoter does not wait for the expiry. When an owner was lost together with the primary, the
 * expiry bounds the wait.
 */
export class LeaseBarrier {
  readonly #unreleasedHolders: Set<string>
  readonly #expiresAt: number
  readonly #isNeeded: boolean
  readonly #areHoldersIncomplete: boolean

  private constructor ({ holders, areHoldersIncomplete = false, claimedAt, limitMs }: CreateOptions) {
    this.#unreleasedHolders = new Set(holders)
    this.#areHoldersIncomplete = areHoldersIncomplete
    this.#isNeeded = limitMs !== undefined
    this.#expiresAt = claimedAt + (limitMs ?? 0) + EXPIRY_MARGIN_MS
  }

  static create (options: CreateOptions): LeaseBarrier {
    return new LeaseBarrier(options)
  }

  /** Incarnations that have not released their lease yet. */
  get unreleasedHolders (): string[] { return [...this.#unreleasedHolders] }

  recordRelease (incarnation: string): void {
    this.#unreleasedHolders.delete(incarnation)
  }

  isOpen (now: number): boolean {
    const isReleased = this.#unreleasedHolders.size === 0 && !this.#areHoldersIncomplete
    return !this.#isNeeded || isReleased || now >= this.#expiresAt
  }
}
