import type { Clock } from '@tanagerusher/coordination/common/clock'

/** Monotonic clock of the process. */
export class SystemClock implements Clock {
  static create (): SystemClock {
    return new SystemClock()
  }

  readTime (): number {
    return performance.now()
  }
}
