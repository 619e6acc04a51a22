interface Waiter { wake: () => void, timer: NodeJS.Timeout }

/** A watcher that waits for the calls of another one calls the store itself after this time, in case those have ended. */
const MAXIMUM_WAIT_MS = 4000

/**
 * Coordinates the calls of the watchers of one host while the store is unreachable: one of them keeps calling, the others wait for its
 * success and then call immediately. The load of an outage does not grow with the number of kinds, and all copies are confirmed again
 * as soon as one of them is.
 */
export class StoreRetries {
  readonly #waiters = new Set<Waiter>()
  /** Kind of the watcher that calls the store. */
  #calling: string | undefined

  static create (): StoreRetries {
    return new StoreRetries()
  }

  /** Waits until the watcher of `kind` should call the store again: after `delayMs`, or after a success of another watcher. */
  async wait (kind: string, delayMs: number): Promise<void> {
    this.#calling ??= kind
    const waitMs = this.#calling === kind ? delayMs : Math.max(delayMs, MAXIMUM_WAIT_MS)
    await new Promise<void>((resolve) => {
      const waiter: Waiter = { wake: resolve, timer: setTimeout(() => { this.#waiters.delete(waiter); resolve() }, waitMs) }
      this.#waiters.add(waiter)
    })
  }

  /** Called when the watcher of `kind` got a response of the store, or no longer needs one. */
  end (kind: string, isReachable: boolean): void {
    if (this.#calling !== kind && !isReachable) return
    this.#calling = undefined
    for (const { wake, timer } of this.#waiters) {
      clearTimeout(timer)
      wake()
    }
    this.#waiters.clear()
  }
}
