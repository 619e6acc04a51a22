/** Clocks are disciplined in small steps; a larger gap between them is a suspension or a step of the time of day. */
const TOLERANCE_MS = 150

/**
 * Finds that the host was suspended: the monotonic clock stands still then, the time of day does not. A step of the time of
 * day looks the same and is treated alike, which costs one confirmation.
 */
export class SuspensionDetector {
  #difference: number | undefined

  static create (): SuspensionDetector {
    return new SuspensionDetector()
  }

  /** True when the clocks moved apart since the last call. Both in milliseconds. */
  check (monotonicMs: number, timeOfDayMs: number): boolean {
    const difference = timeOfDayMs - monotonicMs
    const before = this.#difference
    this.#difference = difference
    return before !== undefined && Math.abs(difference - before) > TOLERANCE_MS
  }
}
