import { TokenBucket } from '@tanagerusher/coordination/budget/token-bucket'
import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'
import type { AdmissionPolicy } from './admission-policy.js'

/** The store sustains several hundred writes a second; section 1.4 of the design. */
const STORE_WRITES_PER_SECOND = 300
const STORE_LATENCY_MS = 3

/** Baseline: a counter in the store, one conditional update a request. Without the store nothing is admitted. */
export class CentralCounterPolicy implements AdmissionPolicy {
  storeCalls = 0
  #isAvailable = true
  readonly #time: VirtualTime
  readonly #random: SeededRandom
  readonly #limits: { rate: number, burst: number }
  readonly #counter = { bucket: TokenBucket.create(), filledMs: 0 }
  readonly #calls = { bucket: TokenBucket.create(), filledMs: 0 }

  private constructor (time: VirtualTime, random: SeededRandom, limits: { rate: number, burst: number }) {
    this.#time = time
    this.#random = random
    this.#limits = limits
  }

  static create ({ time, random, rate, burst }: { time: VirtualTime, random: SeededRandom, rate: number, burst: number }): CentralCounterPolicy {
    return new CentralCounterPolicy(time, random, { rate, burst })
  }

  request (_host: number, decide: (admitted: boolean) => void): void {
    this.storeCalls++
    const latency = STORE_LATENCY_MS * (0.5 + this.#random.takeFraction())
    this.#time.schedule(latency, () => {
      const hasCall = this.#isAvailable && this.#take(this.#calls, STORE_WRITES_PER_SECOND, STORE_WRITES_PER_SECOND)
      const admitted = hasCall && this.#take(this.#counter, this.#limits.rate, this.#limits.burst)
      this.#time.schedule(latency, () => { decide(admitted) })
    })
  }

  setStoreAvailable (available: boolean): void {
    this.#isAvailable = available
  }

  loseHost (): void {}

  #take (state: { bucket: TokenBucket, filledMs: number }, rate: number, burst: number): boolean {
    const now = this.#time.readTime()
    state.bucket.fill((now - state.filledMs) * rate / 1000, burst)
    state.filledMs = now
    return state.bucket.take(1) === 1
  }
}
