interface CreateOptions {
  /** Connection limit of the database. */
  limit: number
  /** Statements that the database runs at a time. */
  slots: number
}

/** Counted in connections of one database's owner. */
interface Counts {
  /** Connections that run or are pinned. */
  busy: number
  idle: number
  opening: number
  /** Connections that are being closed or cancelled and still count at the database. */
  closing: number
}

/** Owners of other members watch too, and a second owner may exist for a while after a change of hosts. */
const RESERVED_SHARE = 0.3
/** Connections kept open beyond the slots, so that a destroyed one is replaced before it is missed. */
const SPARE_CONNECTIONS = 1
const MIN_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 1000

/**
 * Decides how many connections to open. As many as there are slots stay warm, so that no request waits for a connection
 * to be set up; a failed attempt delays the next one.
 */
export class ConnectionBudget {
  readonly #maximum: number
  readonly #warm: number
  #failures = 0
  #notBefore = 0

  private constructor (maximum: number, warm: number) {
    this.#maximum = maximum
    this.#warm = warm
  }

  static create ({ limit, slots }: CreateOptions): ConnectionBudget {
    const maximum = Math.max(1, limit - Math.ceil(limit * RESERVED_SHARE))
    return new ConnectionBudget(maximum, Math.min(maximum, slots + SPARE_CONNECTIONS))
  }

  /** Number of connections to open now. Requests that wait for a slot need no connection of their own. */
  computeOpenings ({ busy, idle, opening, closing }: Counts, now: number): number {
    if (now < this.#notBefore) return 0
    const all = busy + idle + opening + closing
    const wanted = this.#warm - busy - idle - opening
    return Math.max(0, Math.min(wanted, this.#maximum - all, this.#failures > 0 ? 1 : Infinity))
  }

  /** Whether an idle connection is one too many, for example after a limit was lowered. */
  isSurplus ({ busy, idle }: Counts): boolean {
    return busy + idle > this.#warm
  }

  recordOpened (): void {
    this.#failures = 0
    this.#notBefore = 0
  }

  recordFailed (now: number): void {
    this.#failures++
    this.#notBefore = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (this.#failures - 1))
  }

  findNextDeadline (): number | undefined {
    return this.#failures > 0 ? this.#notBefore : undefined
  }
}
