/** Clock synchronization adjusts in small steps. A larger divergence of the two clocks is a suspension or a step of the time of day. */
const MAX_CLOCK_DIVERGENCE_MS = 150

/**
 * Detects that the host was suspended, during which the monotonic clock stops and the time of day advances. A step of the time of
 * day cannot be told apart and is treated as a suspension, which costs one confirmation.
 */
export class SuspensionDetector {
  #difference: number | undefined

  static create (): SuspensionDetector {
    return new SuspensionDetector()
  }

  /** Returns true when the clocks have diverged since the last call. */
  check (monotonicMs: number, timeOfDayMs: number): boolean {
    const difference = timeOfDayMs - monotonicMs
    const previous = this.#difference
    this.#difference = difference
    return previous !== undefined && Math.abs(difference - previous) > MAX_CLOCK_DIVERGENCE_MS
  }
}
