interface CallerCounts {
  reads: number
  writes: number
  watches: number
  refused: number
  conflicts: number
  bytesIn: number
  bytesOut: number
}

type Counter = keyof CallerCounts

/** Counts the calls and bytes of each caller, as the platform meters them. */
export class CallStatistics {
  readonly #callers = new Map<string, CallerCounts>()
  #waitingWatches = 0

  static create (): CallStatistics {
    return new CallStatistics()
  }

  add (caller: string, counter: Counter, amount = 1): void {
    const counts = this.#callers.get(caller) ?? createCounts()
    counts[counter] += amount
    this.#callers.set(caller, counts)
  }

  /** Records that a watch starts to wait (1) or stops waiting (-1). */
  updateWaitingWatches (change: 1 | -1): void {
    this.#waitingWatches += change
  }

  list (): { waitingWatches: number, total: CallerCounts, callers: Record<string, CallerCounts> } {
    const total = createCounts()
    for (const counts of this.#callers.values()) {
      for (const counter of Object.keys(total) as Counter[]) total[counter] += counts[counter]
    }
    return { waitingWatches: this.#waitingWatches, total, callers: Object.fromEntries(this.#callers) }
  }
}

function createCounts (): CallerCounts {
  return { reads: 0, writes: 0, watches: 0, refused: 0, conflicts: 0, bytesIn: 0, bytesOut: 0 }
}
