type Outcome = 'changed' | 'timeout' | 'ended'

interface Waiter {
  kinds: readonly string[]
  finish: (outcome: Outcome) => void
}

/** Watches that wait for a change of one of their kinds. */
export class WatchHub {
  readonly #waiters = new Set<Waiter>()

  static create (): WatchHub {
    return new WatchHub()
  }

  get waitingCount (): number { return this.#waiters.size }

  /** Resolves when `notify` is called for one of `kinds`, after `timeoutMs`, or when `signal` aborts or `endAll` is called. */
  async wait (kinds: readonly string[], timeoutMs: number, signal: AbortSignal): Promise<Outcome> {
    return await new Promise((resolve) => {
      const timer = setTimeout(() => { waiter.finish('timeout') }, timeoutMs)
      const waiter: Waiter = {
        kinds,
        finish: (outcome) => {
          clearTimeout(timer)
          this.#waiters.delete(waiter)
          resolve(outcome)
        }
      }
      this.#waiters.add(waiter)
      signal.addEventListener('abort', () => { waiter.finish('ended') }, { once: true })
    })
  }

  notify (kind: string): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.kinds.includes(kind)) waiter.finish('changed')
    }
  }

  /** Ends all waiting watches: at shutdown and when an outage begins. */
  endAll (): void {
    for (const waiter of [...this.#waiters]) waiter.finish('ended')
  }
}
