interface Lag { responses: number, expiresAt: number }

/**
 * Consecutive lagging responses after which a replica counts as behind. A single one is no evidence, because a read may request a
 * position that is only milliseconds old.
 */
const MINIMUM_LAGGING_RESPONSES = 2
/** A replica that is behind takes longer to catch up than a read waits. */
const BEHIND_MS = 300

/** Tracks which replicas recently lacked the positions that reads needed. */
export class LagTracker {
  readonly #lags = new Map<string, Lag>()

  static create (): LagTracker {
    return new LagTracker()
  }

  recordLag (id: string, now: number): void {
    this.#lags.set(id, { responses: (this.#lags.get(id)?.responses ?? 0) + 1, expiresAt: now + BEHIND_MS })
  }

  recordServed (id: string): void {
    this.#lags.delete(id)
  }

  isBehind (id: string, now: number): boolean {
    const lag = this.#lags.get(id)
    return lag !== undefined && lag.responses >= MINIMUM_LAGGING_RESPONSES && lag.expiresAt > now
  }
}
