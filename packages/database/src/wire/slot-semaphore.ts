import { SqlError } from '../ledger/sql-error.js'

/** Counting semaphore for the slots of a database. A statement or an open transaction holds one slot; others wait in FIFO order. */
export class SlotSemaphore {
  #free: number
  readonly #waiters = new Set<() => void>()

  private constructor (slots: number) {
    this.#free = slots
  }

  static create (slots: number): SlotSemaphore {
    return new SlotSemaphore(slots)
  }

  get waitingCount (): number { return this.#waiters.size }

  tryTake (): boolean {
    if (this.#free === 0) return false
    this.#free--
    return true
  }

  /** Waits for a slot. @throws SqlError 57014 when `signal` aborts the wait. */
  async take (signal: AbortSignal): Promise<void> {
    if (this.tryTake()) return
    await new Promise<void>((resolve, reject) => {
      const start = (): void => {
        signal.removeEventListener('abort', cancel)
        resolve()
      }
      const cancel = (): void => {
        this.#waiters.delete(start)
        reject(SqlError.create('57014', 'canceling statement due to user request'))
      }
      this.#waiters.add(start)
      signal.addEventListener('abort', cancel, { once: true })
    })
  }

  release (): void {
    const [next] = this.#waiters
    if (next === undefined) {
      this.#free++
      return
    }
    this.#waiters.delete(next)
    next()
  }
}
