import type { Position } from '@tanagerusher/state/position/position'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'

interface Observation { position: Position, at: number }

/** More than the longest staleness bound is never asked for. */
const KEPT = 16

/**
 * Positions that a proven primary had, with the time before which its answer was asked for. A replica that holds such a
 * position holds every commit that was acknowledged before that time.
 */
export class PositionWatch {
  #observations: Observation[] = []
  #clearedAt = -Infinity

  static create (): PositionWatch {
    return new PositionWatch()
  }

  get newest (): Observation | undefined { return this.#observations.at(-1) }

  /** `at` is when the request that proved the position was sent, `askedAt` when this host asked, by its monotonic clock. */
  record (position: Position, at: number, askedAt = at): void {
    const newest = this.newest
    if (newest !== undefined && (comparePositions(position, newest.position) < 0 || at <= newest.at)) return
    if (askedAt <= this.#clearedAt) return
    this.#observations.push({ position, at })
    if (this.#observations.length > KEPT) this.#observations.shift()
  }

  /** After a suspension the times say nothing, nor does an answer to an earlier question. */
  clear (now: number): void {
    this.#observations = []
    this.#clearedAt = now
  }

  /**
   * Lowest position that a read may be served from: the oldest one inside the bound, but none below the session's own
   * commits. Undefined when nothing inside the bound is known.
   */
  findReadPosition (maxStalenessMs: number, floor: Position | undefined, now: number): Position | undefined {
    const inside = this.#observations.find(({ at }) => now - at <= maxStalenessMs)
    if (inside === undefined) return undefined
    return floor !== undefined && comparePositions(floor, inside.position) > 0 ? floor : inside.position
  }
}
