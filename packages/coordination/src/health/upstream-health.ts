/** One failure may be a lost connection. Two without a response in between point to the database. */
const SUSPECT_AFTER_FAILURES = 2
/** A suspect database gets one trial in this interval. All other work is rejected immediately, because it would only wait. */
const TRIAL_INTERVAL_MS = 250

/** Circuit breaker for one database, driven by the results of the work that its owner sends. */
export class UpstreamHealth {
  #failures = 0
  #failingSince: number | undefined
  #lastTrialAt = -Infinity
  #lastResponseAt = -Infinity

  static create (): UpstreamHealth {
    return new UpstreamHealth()
  }

  get lastResponseAt (): number { return this.#lastResponseAt }
  get isSuspect (): boolean { return this.#failures >= SUSPECT_AFTER_FAILURES }

  /** Time in ms since the first failure after the last response; 0 when there is none. */
  readFailingMs (now: number): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince
  }

  recordResponse (now: number): void {
    this.#lastResponseAt = now
    this.#failures = 0
    this.#failingSince = undefined
  }

  recordFailure (now: number): void {
    this.#failures++
    this.#failingSince ??= now
  }

  /** Returns whether work may be sent. For a suspect database, true starts a trial. */
  takeTrial (now: number): boolean {
    if (!this.isSuspect) return true
    if (now - this.#lastTrialAt < TRIAL_INTERVAL_MS) return false
    this.#lastTrialAt = now
    return true
  }
}
