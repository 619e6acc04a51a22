import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import type { Position } from '@tanagerusher/state/position/position'

interface Sample {
  log: Position
  /** Time before which the sample was not asked for: the primary was at `log` then or later. */
  askedAt: number
}

const MAX_SAMPLES = 256
const SAMPLE_SPACING_MS = 10

/**
 * Age of a replica's data by one host's clock: time since the primary was last seen at a position that the replica holds.
 * An idle primary makes no replica older as long as it is seen, and the age stays defined when the primary is gone.
 */
export class DataAgeTracker {
  #samples: Sample[] = []

  static create (): DataAgeTracker {
    return new DataAgeTracker()
  }

  /** Records that the primary, asked at `askedAt`, was at `log`. */
  record (log: Position, askedAt: number): void {
    const last = this.#samples.at(-1)
    if (last !== undefined && comparePositions(log, last.log) < 0) return
    if (last !== undefined && comparePositions(log, last.log) === 0) {
      last.askedAt = Math.max(last.askedAt, askedAt)
      return
    }
    if (last !== undefined && askedAt - last.askedAt < SAMPLE_SPACING_MS && this.#samples.length > 1) return
    this.#samples.push({ log, askedAt })
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift()
  }

  /** Undefined when the replica holds less than anything remembered. */
  findAgeMs (log: Position, now: number): number | undefined {
    for (let index = this.#samples.length - 1; index >= 0; index--) {
      const sample = this.#samples[index] as Sample
      if (log.term >= sample.log.term && log.position >= sample.log.position) return Math.max(0, now - sample.askedAt)
    }
    return undefined
  }
}
