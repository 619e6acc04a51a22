import type { VirtualTime } from '../common/virtual-time.js'
import type { FakeStore } from './fake-store.js'
import type { PromotionPermit } from './promotion-permit.js'

/** Shorter leases cost each group one store write a second and more; the store sustains several hundred in all. */
const LEASE_MS = 3000
const RENEW_MS = 1000

/** Baseline: only the holder of a lease in the store may promote. */
export class StoreLeasePermit implements PromotionPermit {
  #validUntil = 0
  readonly #host: string
  readonly #store: FakeStore
  readonly #time: VirtualTime
  readonly #isAlive: () => boolean

  private constructor (host: string, store: FakeStore, time: VirtualTime, isAlive: () => boolean) {
    this.#host = host
    this.#store = store
    this.#time = time
    this.#isAlive = isAlive
    this.#renew()
  }

  static create ({ host, store, time, isAlive }: { host: string, store: FakeStore, time: VirtualTime, isAlive: () => boolean }): StoreLeasePermit {
    return new StoreLeasePermit(host, store, time, isAlive)
  }

  mayPromote (): boolean {
    return this.#time.readTime() < this.#validUntil
  }

  #renew (): void {
    if (!this.#isAlive()) return
    const sentMs = this.#time.readTime()
    this.#store.acquire(this.#host, LEASE_MS, (granted) => { if (granted === true) this.#validUntil = sentMs + LEASE_MS })
    this.#time.schedule(RENEW_MS, () => { this.#renew() })
  }
}
