import { comparePositions } from '@tanagerusher/state/position/compare-positions'
import type { Position } from '@tanagerusher/state/position/position'

interface Sample {
  log: Position
  /** When the sample was requested. The primary was at `log` at this time or later. */
  requestedAt: number
}

const MAX_SAMPLES = 256
const SAMPLE_SPACING_MS = 10

/**
 * Computes the age of a replica's data on one host's clock as the time since the primary was last observed at a position that the
 * replica holds. Replicas of an idle primary do not age while it is observed, and the age stays defined when the primary is lost.
 */
export class DataAgeTracker {
  #samples: Sample[] = []

  static create (): DataAgeTracker {
    return new DataAgeTracker()
  }

  /** Records that the primary was at `log` in response to a request sent at `requestedAt`. */
  record (log: Position, requestedAt: number): void {
    const last = this.#samples.at(-1)
    if (last !== undefined && comparePositions(log, last.log) < 0) return
    if (last !== undefined && comparePositions(log, last.log) === 0) {
      last.requestedAt = Math.max(last.requestedAt, requestedAt)
      return
    }
    if (last !== undefined && requestedAt - last.requestedAt < SAMPLE_SPACING_MS && this.#samples.length > 1) return
    this.#samples.push({ log, requestedAt })
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift()
  }

  /** Undefined when the replica is behind every recorded sample. */
  findAgeMs (log: Position, now: number): number | undefined {
    for (let index = this.#samples.length - 1; index >= 0; index--) {
      const sample = this.#samples[index] as Sample
      if (log.term >= sample.log.term && log.position >= sample.log.position) return Math.max(0, now - sample.requestedAt)
    }
    return undefined
  }
}
