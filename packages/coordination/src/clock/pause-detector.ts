/** Interval at which `tick` is called. */
const TICK_MS = 20
/** A delay of the tick above this is longer than timers and short computations cause, and distorts the time of a short statement. */
const MAXIMUM_DELAY_MS = 15

/**
 * Detects times at which the own process did not run (garbage collection, a CPU quota, a long computation). Responses that
 * arrived meanwhile are read late, so their measured times say nothing about the sender.
 */
export class PauseDetector {
  #tickedAt: number
  #pausedUntil = -Infinity

  private constructor (now: number) {
    this.#tickedAt = now
  }

  static create (now: number): PauseDetector {
    return new PauseDetector(now)
  }

  get tickMs (): number { return TICK_MS }

  tick (now: number): void {
    if (now - this.#tickedAt > TICK_MS + MAXIMUM_DELAY_MS) this.#pausedUntil = now
    this.#tickedAt = now
  }

  /** Returns whether the process paused between `since` and `now`. An overdue tick counts, because responses may be read before it runs. */
  hasPaused (since: number, now: number): boolean {
    return this.#pausedUntil >= since || now - this.#tickedAt > TICK_MS + MAXIMUM_DELAY_MS
  }
}
