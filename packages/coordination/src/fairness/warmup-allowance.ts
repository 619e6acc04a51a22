/** Requests may start early by the delay of a timer, so that it costs no throughput. */
const TIMER_TOLERANCE_MS = 5

/**
 * Spaces the requests that one owner sends to a cold database evenly, without bursts: in any second at most the rate and one more. It is
 * empty when the limit begins, so that a new owner does not repeat what the one before it has sent.
 */
export class WarmupAllowance {
  /** Requests per second; undefined: no limit, 0: none may be sent. */
  #rate: number | undefined
  #nextAt = -Infinity

  static create (): WarmupAllowance {
    return new WarmupAllowance()
  }

  /** Sets the requests per second; undefined when the database is not cold. */
  update (rate: number | undefined, now: number): void {
    if (rate === this.#rate) return
    const isStarting = this.#rate === undefined || this.#rate === 0
    this.#rate = rate
    if (rate === undefined || rate === 0) return
    this.#nextAt = isStarting ? now + 1000 / rate : Math.min(this.#nextAt, now + 1000 / rate)
  }

  /** Whether a request may be sent now. */
  has (now: number): boolean {
    return this.#rate === undefined || (this.#rate > 0 && now >= this.#nextAt)
  }

  /** Counts a request that is sent now. */
  take (now: number): void {
    if (this.#rate === undefined || this.#rate === 0) return
    this.#nextAt = Math.max(this.#nextAt, now - TIMER_TOLERANCE_MS) + 1000 / this.#rate
  }

  /** Time in ms until a request may be sent that has `ahead` others before it; Infinity when none may be sent. */
  estimateWaitMs (ahead: number, now: number): number {
    if (this.#rate === undefined) return 0
    return this.#rate === 0 ? Infinity : Math.max(0, this.#nextAt - now) + ahead * 1000 / this.#rate
  }
}
