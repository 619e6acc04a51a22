interface CreateOptions {
  /** Connection limit of the database. */
  limit: number
  /** Number of statements that the database runs concurrently. */
  slots: number
}

/** Connections of one database's owner by state. */
interface Counts {
  /** Connections that run a statement or are pinned. */
  busy: number
  idle: number
  opening: number
  /** Connections that are being closed or cancelled and still count towards the limit of the database. */
  closing: number
}

/**
 * Fraction reserved for the owners of other members, which probe this database too, and for a second owner that may exist
 * briefly after a change of hosts.
 */
const RESERVED_FRACTION = 0.3
/** Connections kept open beyond the number of slots, so that a closed one is replaced before a request needs it. */
const SPARE_CONNECTIONS = 1
const MIN_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 1000

/**
 * Decides how many connections to open. One connection more than the number of slots stays open, so that no request waits for
 * connection setup. A failed attempt delays the next one.
 */
export class ConnectionBudget {
  readonly #maximum: number
  readonly #targetOpen: number
  #consecutiveFailures = 0
  #retryAt = 0

  private constructor (maximum: number, targetOpen: number) {
    this.#maximum = maximum
    this.#targetOpen = targetOpen
  }

  static create ({ limit, slots }: CreateOptions): ConnectionBudget {
    const maximum = Math.max(1, limit - Math.ceil(limit * RESERVED_FRACTION))
    return new ConnectionBudget(maximum, Math.min(maximum, slots + SPARE_CONNECTIONS))
  }

  /** Returns the number of connections to open now. Requests that wait for a slot need no connection yet. */
  computeOpenings ({ busy, idle, opening, closing }: Counts, now: number): number {
    if (now < this.#retryAt) return 0
    const all = busy + idle + opening + closing
    const wanted = this.#targetOpen - busy - idle - opening
    return Math.max(0, Math.min(wanted, this.#maximum - all, this.#consecutiveFailures > 0 ? 1 : Infinity))
  }

  /** Whether one idle connection should be closed, for example after a limit was lowered. */
  isSurplus ({ busy, idle }: Counts): boolean {
    return busy + idle > this.#targetOpen
  }

  recordOpened (): void {
    this.#consecutiveFailures = 0
    this.#retryAt = 0
  }

  recordFailure (now: number): void {
    this.#consecutiveFailures++
    this.#retryAt = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (this.#consecutiveFailures - 1))
  }

  findNextDeadline (): number | undefined {
    return this.#consecutiveFailures > 0 ? this.#retryAt : undefined
  }
}
