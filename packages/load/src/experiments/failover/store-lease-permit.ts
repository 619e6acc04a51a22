import type { VirtualTime } from '../common/virtual-time.js'
import type { FakeStore } from './fake-store.js'
import type { PromotionPermit } from './promotion-permit.js'

/** Shorter leases cost at least one store write per second and group. The store sustains several hundred in total. */
const LEASE_DURATION_MS = 3000
const RENEWAL_INTERVAL_MS = 1000

/** Baseline: only the holder of a lease in the store may promote a database. */
export class StoreLeasePermit implements PromotionPermit {
  #leaseExpiresAt = 0
  readonly #host: string
  readonly #store: FakeStore
  readonly #time: VirtualTime
  readonly #isHostRunning: () => boolean

  private constructor (host: string, store: FakeStore, time: VirtualTime, isHostRunning: () => boolean) {
    this.#host = host
    this.#store = store
    this.#time = time
    this.#isHostRunning = isHostRunning
    this.#renewLease()
  }

  static create ({ host, store, time, isHostRunning }: { host: string, store: FakeStore, time: VirtualTime, isHostRunning: () => boolean }): StoreLeasePermit {
    return new StoreLeasePermit(host, store, time, isHostRunning)
  }

  isPromotionAllowed (): boolean {
    return this.#time.readTime() < this.#leaseExpiresAt
  }

  #renewLease (): void {
    if (!this.#isHostRunning()) return
    const requestedAt = this.#time.readTime()
    this.#store.acquireLease(this.#host, LEASE_DURATION_MS, (granted) => { if (granted === true) this.#leaseExpiresAt = requestedAt + LEASE_DURATION_MS })
    this.#time.schedule(RENEWAL_INTERVAL_MS, () => { this.#renewLease() })
  }
}
