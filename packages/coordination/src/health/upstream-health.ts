/** One failure may be a lost connection; two in a row without an answer between are the database. */
const SUSPECT_AFTER = 2
/** A suspect gets one trial in this time; all other work is refused at once, since it would only wait. */
const TRIAL_EVERY_MS = 250

/** Whether one database answers, as its owner sees it from real work. */
export class UpstreamHealth {
  #failures = 0
  #failingSince: number | undefined
  #triedAt = -Infinity
  #answeredAt = -Infinity

  static create (): UpstreamHealth {
    return new UpstreamHealth()
  }

  get answeredAt (): number { return this.#answeredAt }
  get isSuspect (): boolean { return this.#failures >= SUSPECT_AFTER }

  /** Time since the first failure that no answer has followed; 0 when it answers. */
  readFailingMs (now: number): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince
  }

  recordAnswer (now: number): void {
    this.#answeredAt = now
    this.#failures = 0
    this.#failingSince = undefined
  }

  recordFailure (now: number): void {
    this.#failures++
    this.#failingSince ??= now
  }

  /** Whether work may be sent now. */
  takeTrial (now: number): boolean {
    if (!this.isSuspect) return true
    if (now - this.#triedAt < TRIAL_EVERY_MS) return false
    this.#triedAt = now
    return true
  }
}
