import { SuspensionDetector } from '@tanagerusher/coordination/clock/suspension-detector'
import type { Clock } from '@tanagerusher/coordination/common/clock'

/** Monotonic clock of the host, with a check for suspensions, during which it does not advance. */
export class HostClock implements Clock {
  readonly #detector = SuspensionDetector.create()
  readonly #handleSuspended: () => void
  #suspensions = 0

  private constructor (handleSuspended: () => void) {
    this.#handleSuspended = handleSuspended
  }

  static create (handleSuspended: () => void): HostClock {
    return new HostClock(handleSuspended)
  }

  readTime (): number {
    return performance.now()
  }

  checkSuspension (): void {
    if (!this.#detector.check(performance.now(), Date.now())) return
    this.#suspensions++
    this.#handleSuspended()
  }

  /** Number of suspensions detected so far. Two different counts show a suspension between them, also when another caller detected it. */
  countSuspensions (): number {
    this.checkSuspension()
    return this.#suspensions
  }
}
