import type { Clock } from '@tanagerusher/coordination/common/clock'

/** Monotonic clock of the process. */
export class MonotonicClock implements Clock {
  static create (): MonotonicClock {
    return new MonotonicClock()
  }

  readTime (): number {
    return performance.now()
  }
}
