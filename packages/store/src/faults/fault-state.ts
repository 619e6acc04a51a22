import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { StoredChange } from '@tanagerusher/coordination/common/platform-store'
import { storeFaultsSchema, type StoreFaults } from './store-faults.js'

/** Current faults and the seeded choices that they need. */
export class FaultState {
  #faults: StoreFaults = storeFaultsSchema.parse({})
  #generator = xoroshiro128plus(1)
  readonly #listeners = new Set<() => void>()

  static create (): FaultState {
    return new FaultState()
  }

  get faults (): StoreFaults { return this.#faults }

  replace (faults: StoreFaults): void {
    this.#faults = faults
    this.#generator = xoroshiro128plus(faults.seed)
    for (const listener of this.#listeners) listener()
  }

  /** Calls `listener` after every replacement until the returned function is called. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Decides whether the answer to this call is lost; counts `next` down. */
  takeLostAnswer (isWrite: boolean): boolean {
    const { lostAnswers } = this.#faults
    if (lostAnswers.only === 'writes' && !isWrite) return false
    if (lostAnswers.next > 0) {
      lostAnswers.next--
      return true
    }
    return this.#choose(lostAnswers.ratio)
  }

  /** Leaves out and repeats changes as a faulty watch does. */
  distort (changes: StoredChange[]): StoredChange[] {
    const { skipRatio, repeatRatio } = this.#faults.watch
    if (skipRatio === 0 && repeatRatio === 0) return changes
    return changes.flatMap((change) => {
      if (this.#choose(skipRatio)) return []
      return this.#choose(repeatRatio) ? [change, change] : [change]
    })
  }

  #choose (ratio: number): boolean {
    if (ratio === 0) return false
    return (this.#generator.next() >>> 0) / 0x1_0000_0000 < ratio
  }
}
