interface Lag { answers: number, until: number }

/** A read may ask for a position that is only milliseconds old, which says nothing; the second answer in a row does. */
const BEHIND_AFTER = 2
/** A replica that is behind stays so for longer than a read waits. */
const BEHIND_MS = 300

/** Remembers which replicas lacked the position that reads needed. */
export class LagMemory {
  readonly #lags = new Map<string, Lag>()

  static create (): LagMemory {
    return new LagMemory()
  }

  recordLag (id: string, now: number): void {
    this.#lags.set(id, { answers: (this.#lags.get(id)?.answers ?? 0) + 1, until: now + BEHIND_MS })
  }

  recordServed (id: string): void {
    this.#lags.delete(id)
  }

  isBehind (id: string, now: number): boolean {
    const lag = this.#lags.get(id)
    return lag !== undefined && lag.answers >= BEHIND_AFTER && lag.until > now
  }
}
