/** A database keeps the connections of a host that lost power for seconds, so the limit grows in much shorter steps. */
const STEP_MS = 200
const INITIAL_GROWTH = 2

/**
 * Limits the connections of an owner after its database refused one because of the connection limit. After hosts have failed,
 * their connections still count at the database, and every further attempt is reset and delays a request. The owner keeps the
 * connections that it has and raises the limit by twice as much at each step, which restores its own limit in about a second.
 */
export class ConnectionCap {
  #heldAtRefusal = Infinity
  #refusedAt = -Infinity

  static create (): ConnectionCap {
    return new ConnectionCap()
  }

  /** Records that the database refused a further connection while `held` connections were open. */
  recordRefusal (held: number, now: number): void {
    this.#heldAtRefusal = held
    this.#refusedAt = now
  }

  /** Returns the smaller of the owner's own limit and the limit that follows from the last refusal. */
  computeLimit (limit: number, now: number): number {
    const steps = Math.floor((now - this.#refusedAt) / STEP_MS)
    return Math.min(limit, steps < 1 ? this.#heldAtRefusal : this.#heldAtRefusal + INITIAL_GROWTH * 2 ** (steps - 1))
  }

  /** Returns the time in ms until the limit grows next; undefined when it no longer restricts the owner. */
  findNextStepMs (limit: number, now: number): number | undefined {
    return this.computeLimit(limit, now) >= limit ? undefined : STEP_MS - (now - this.#refusedAt) % STEP_MS
  }
}
