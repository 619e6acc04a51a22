import { SqlError } from '../ledger/sql-error.js'

/** Slots of a database. A statement or an open transaction holds one; others wait in order of arrival. */
export class SlotPool {
  #free: number
  readonly #waiting = new Set<() => void>()

  private constructor (slots: number) {
    this.#free = slots
  }

  static create (slots: number): SlotPool {
    return new SlotPool(slots)
  }

  get waiting (): number { return this.#waiting.size }

  tryTake (): boolean {
    if (this.#free === 0) return false
    this.#free--
    return true
  }

  /** Waits for a slot. @throws SqlError 57014 when `signal` ends the wait. */
  async take (signal: AbortSignal): Promise<void> {
    if (this.tryTake()) return
    await new Promise<void>((resolve, reject) => {
      const start = (): void => {
        signal.removeEventListener('abort', cancel)
        resolve()
      }
      const cancel = (): void => {
        this.#waiting.delete(start)
        reject(SqlError.create('57014', 'canceling statement due to user request'))
      }
      this.#waiting.add(start)
      signal.addEventListener('abort', cancel, { once: true })
    })
  }

  release (): void {
    const [next] = this.#waiting
    if (next === undefined) {
      this.#free++
      return
    }
    this.#waiting.delete(next)
    next()
  }
}
