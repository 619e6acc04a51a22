/** Connections of a host that lost power stay at the database for seconds, so the cap grows in steps well below that. */
const STEP_MS = 200
const FIRST_GROWTH = 2

/**
 * Connections that an owner tries to hold after its database refused one as over its limit. Answers the load after hosts died:
 * their connections still count at the database, and every further attempt is reset and costs a request its time. The owner
 * keeps to what it has and grows from there, twice as much at each step, so that it is back at its own limit within about a second.
 */
export class ConnectionCap {
  #base = Infinity
  #refusedAt = -Infinity

  static create (): ConnectionCap {
    return new ConnectionCap()
  }

  /** `held` connections were open when the database refused a further one. */
  recordRefusal (held: number, now: number): void {
    this.#base = held
    this.#refusedAt = now
  }

  /** The smaller of the owner's own limit and what the last refusal allows now. */
  computeLimit (limit: number, now: number): number {
    const steps = Math.floor((now - this.#refusedAt) / STEP_MS)
    return Math.min(limit, steps < 1 ? this.#base : this.#base + FIRST_GROWTH * 2 ** (steps - 1))
  }

  /** Time in ms until the limit grows next; undefined when it no longer binds. */
  findNextStepMs (limit: number, now: number): number | undefined {
    return this.computeLimit(limit, now) >= limit ? undefined : STEP_MS - (now - this.#refusedAt) % STEP_MS
  }
}
