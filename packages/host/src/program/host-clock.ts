import { SuspensionDetector } from '@tanagerusher/coordination/clock/suspension-detector'
import type { Clock } from '@tanagerusher/coordination/common/clock'

/** Monotonic clock of the host, with a check for suspensions that it does not count. */
export class HostClock implements Clock {
  readonly #detector = SuspensionDetector.create()
  readonly #handleSuspended: () => void

  private constructor (handleSuspended: () => void) {
    this.#handleSuspended = handleSuspended
  }

  static create (handleSuspended: () => void): HostClock {
    return new HostClock(handleSuspended)
  }

  readTime (): number {
    return performance.now()
  }

  /** True when the clocks moved apart since the last check. */
  check (): boolean {
    const hasMoved = this.#detector.check(performance.now(), Date.now())
    if (hasMoved) this.#handleSuspended()
    return hasMoved
  }
}
