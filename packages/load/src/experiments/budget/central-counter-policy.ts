import { TokenBucket } from '@tanagerusher/coordination/budget/token-bucket'
import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'
import type { AdmissionPolicy } from './admission-policy.js'

/** The store sustains several hundred writes a second; section 1.4 of the design. */
const STORE_WRITES_PER_SECOND = 300
const STORE_LATENCY_MS = 3

/** Baseline: a counter in the store with one conditional update per request. Nothing is admitted while the store is unavailable. */
export class CentralCounterPolicy implements AdmissionPolicy {
  storeCalls = 0
  #isAvailable = true
  readonly #time: VirtualTime
  readonly #random: SeededRandom
  readonly #limits: { rate: number, burst: number }
  readonly #counter = { bucket: TokenBucket.create(), filledAt: 0 }
  readonly #storeCapacity = { bucket: TokenBucket.create(), filledAt: 0 }

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
      const isCallServed = this.#isAvailable && this.#takeToken(this.#storeCapacity, STORE_WRITES_PER_SECOND, STORE_WRITES_PER_SECOND)
      const admitted = isCallServed && this.#takeToken(this.#counter, this.#limits.rate, this.#limits.burst)
      this.#time.schedule(latency, () => { decide(admitted) })
    })
  }

  setStoreAvailable (isAvailable: boolean): void {
    this.#isAvailable = isAvailable
  }

  loseHost (): void {}

  #takeToken (state: { bucket: TokenBucket, filledAt: number }, rate: number, burst: number): boolean {
    const now = this.#time.readTime()
    state.bucket.fill((now - state.filledAt) * rate / 1000, burst)
    state.filledAt = now
    return state.bucket.take(1) === 1
  }
}
