import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'

/** Fake object store in virtual time, with one lease object, conditional updates and outages. */
export class FakeStore {
  isAvailable = true
  #lease = { holder: '', expiresAt: 0 }
  readonly #time: VirtualTime
  readonly #random: SeededRandom

  private constructor (time: VirtualTime, random: SeededRandom) {
    this.#time = time
    this.#random = random
  }

  static create ({ time, random }: { time: VirtualTime, random: SeededRandom }): FakeStore {
    return new FakeStore(time, random)
  }

  /** Acquires or renews the lease for `holder`. `onResponse` receives `undefined` when the call failed. */
  acquireLease (holder: string, ttlMs: number, onResponse: (granted: boolean | undefined) => void): void {
    const latency = 2 + this.#random.takeFraction() * 3
    this.#time.schedule(latency, () => {
      const now = this.#time.readTime()
      if (this.isAvailable && (this.#lease.holder === holder || this.#lease.expiresAt <= now)) this.#lease = { holder, expiresAt: now + ttlMs }
      const granted = this.isAvailable ? this.#lease.holder === holder : undefined
      this.#time.schedule(latency, () => { onResponse(granted) })
    })
  }
}
