import type { SeededRandom } from '../../random/seeded-random.js'
import type { VirtualTime } from '../common/virtual-time.js'

/** Fake of the object store: one lease object with conditional updates, and outages. */
export class FakeStore {
  isAvailable = true
  #lease = { holder: '', expiresMs: 0 }
  readonly #time: VirtualTime
  readonly #random: SeededRandom

  private constructor (time: VirtualTime, random: SeededRandom) {
    this.#time = time
    this.#random = random
  }

  static create ({ time, random }: { time: VirtualTime, random: SeededRandom }): FakeStore {
    return new FakeStore(time, random)
  }

  /** Takes or renews the lease for `holder`. `undefined` stands for a call that failed. */
  acquire (holder: string, ttlMs: number, answer: (granted: boolean | undefined) => void): void {
    const latency = 2 + this.#random.takeFraction() * 3
    this.#time.schedule(latency, () => {
      const now = this.#time.readTime()
      if (this.isAvailable && (this.#lease.holder === holder || this.#lease.expiresMs <= now)) this.#lease = { holder, expiresMs: now + ttlMs }
      const granted = this.isAvailable ? this.#lease.holder === holder : undefined
      this.#time.schedule(latency, () => { answer(granted) })
    })
  }
}
