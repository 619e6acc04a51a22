import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { StoredChange } from '@tanagerusher/coordination/common/platform-store'
import { storeFaultsSchema, type StoreFaults } from './store-faults.js'

/** Faults that are injected at present, and the seeded random choices that they need. */
export class FaultState {
  #current: StoreFaults = storeFaultsSchema.parse({})
  #generator = xoroshiro128plus(1)
  readonly #listeners = new Set<() => void>()

  static create (): FaultState {
    return new FaultState()
  }

  get current (): StoreFaults { return this.#current }

  replace (faults: StoreFaults): void {
    this.#current = faults
    this.#generator = xoroshiro128plus(faults.seed)
    for (const listener of this.#listeners) listener()
  }

  /** Calls `listener` after every replacement until the returned function is called. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Decides whether the response to this call is lost, and counts `lostAnswers.next` down. */
  takeLostResponse (isWrite: boolean): boolean {
    const { lostAnswers } = this.#current
    if (lostAnswers.only === 'writes' && !isWrite) return false
    if (lostAnswers.next > 0) {
      lostAnswers.next--
      return true
    }
    return this.#chooseWithProbability(lostAnswers.ratio)
  }

  /** Skips and repeats changes at random, with the ratios of the watch faults. */
  applyWatchFaults (changes: StoredChange[]): StoredChange[] {
    const { skipRatio, repeatRatio } = this.#current.watch
    if (skipRatio === 0 && repeatRatio === 0) return changes
    return changes.flatMap((change) => {
      if (this.#chooseWithProbability(skipRatio)) return []
      return this.#chooseWithProbability(repeatRatio) ? [change, change] : [change]
    })
  }

  #chooseWithProbability (ratio: number): boolean {
    if (ratio === 0) return false
    return (this.#generator.next() >>> 0) / 0x1_0000_0000 < ratio
  }
}
