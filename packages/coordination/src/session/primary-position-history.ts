import type { Position } from '@tanagerusher/state/position/position'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'

interface Observation { position: Position, confirmedAt: number }

/** Covers the longest staleness bound. Older observations are never needed. */
const MAXIMUM_OBSERVATIONS = 16

/**
 * Log positions of a confirmed primary, each with the time at which its request was sent. A replica that holds such a
 * position holds every commit that was acknowledged before that time.
 */
export class PrimaryPositionHistory {
  #observations: Observation[] = []
  #clearedAt = -Infinity

  static create (): PrimaryPositionHistory {
    return new PrimaryPositionHistory()
  }

  get newest (): Observation | undefined { return this.#observations.at(-1) }

  /**
   * `confirmedAt` is the time at which the request that confirmed the position was sent, and `requestedAt` the time at which
   * this host sent its own request. Both are times of this host's monotonic clock.
   */
  record (position: Position, confirmedAt: number, requestedAt = confirmedAt): void {
    const newest = this.newest
    if (newest !== undefined && (comparePositions(position, newest.position) < 0 || confirmedAt <= newest.confirmedAt)) return
    if (requestedAt <= this.#clearedAt) return
    this.#observations.push({ position, confirmedAt })
    if (this.#observations.length > MAXIMUM_OBSERVATIONS) this.#observations.shift()
  }

  /** Discards all observations: after a suspension, earlier times and responses to earlier requests are invalid. */
  clear (now: number): void {
    this.#observations = []
    this.#clearedAt = now
  }

  /**
   * Returns the lowest position that a read may be served from: the oldest one within the bound, or the session's floor when
   * that is higher. Undefined when no observation is within the bound.
   */
  findReadPosition (maxStalenessMs: number, floor: Position | undefined, now: number): Position | undefined {
    const oldestWithinBound = this.#observations.find(({ confirmedAt: at }) => now - at <= maxStalenessMs)
    if (oldestWithinBound === undefined) return undefined
    return floor !== undefined && comparePositions(floor, oldestWithinBound.position) > 0 ? floor : oldestWithinBound.position
  }
}
