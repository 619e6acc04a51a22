import type { Clock } from '@tanagerusher/coordination/common/clock'

interface Timer {
  dueAt: number
  order: number
  run: () => void
}

/** Simulated clock and timers for experiments on fakes. Timers that are due at the same time run in the order of scheduling. */
export class VirtualTime implements Clock {
  #now = 0
  #order = 0
  readonly #heap: Timer[] = []

  static create (): VirtualTime {
    return new VirtualTime()
  }

  readTime (): number {
    return this.#now
  }

  schedule (delayMs: number, run: () => void): void {
    const timer = { dueAt: this.#now + Math.max(0, delayMs), order: this.#order++, run }
    this.#heap.push(timer)
    for (let index = this.#heap.length - 1; index > 0;) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) break
      this.#swap(index, parent)
      index = parent
    }
  }

  /** Runs all timers that are due by `timeMs`, then sets the clock to `timeMs`. */
  runUntil (timeMs: number): void {
    while (this.#heap.length > 0 && (this.#heap[0] as Timer).dueAt <= timeMs) {
      const timer = this.#takeFirst()
      this.#now = timer.dueAt
      timer.run()
    }
    this.#now = timeMs
  }

  #takeFirst (): Timer {
    this.#swap(0, this.#heap.length - 1)
    const first = this.#heap.pop() as Timer
    for (let index = 0; ;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) if (child < this.#heap.length && this.#isBefore(child, least)) least = child
      if (least === index) return first
      this.#swap(index, least)
      index = least
    }
  }

  #isBefore (left: number, right: number): boolean {
    const first = this.#heap[left] as Timer
    const second = this.#heap[right] as Timer
    return first.dueAt < second.dueAt || (first.dueAt === second.dueAt && first.order < second.order)
  }

  #swap (left: number, right: number): void {
    const timer = this.#heap[left] as Timer
    this.#heap[left] = this.#heap[right] as Timer
    this.#heap[right] = timer
  }
}
