import { TokenBucket } from '@tanagerusher/coordination/budget/token-bucket'
import type { VirtualTime } from '../common/virtual-time.js'
import type { AdmissionPolicy } from './admission-policy.js'

/** Baseline: each host has an equal and fixed share of rate and burst. */
export class StaticSplitPolicy implements AdmissionPolicy {
  readonly storeCalls = 0
  readonly #time: VirtualTime
  readonly #limitsPerHost: { rate: number, burst: number }
  readonly #buckets: Array<{ bucket: TokenBucket, filledAt: number }>

  private constructor (time: VirtualTime, hosts: number, rate: number, burst: number) {
    this.#time = time
    this.#limitsPerHost = { rate: rate / hosts, burst: burst / hosts }
    this.#buckets = Array.from({ length: hosts }, () => ({ bucket: TokenBucket.create(), filledAt: 0 }))
  }

  static create ({ time, hosts, rate, burst }: { time: VirtualTime, hosts: number, rate: number, burst: number }): StaticSplitPolicy {
    return new StaticSplitPolicy(time, hosts, rate, burst)
  }

  request (host: number, decide: (admitted: boolean) => void): void {
    const state = this.#buckets[host]
    if (state === undefined) return decide(false)
    const now = this.#time.readTime()
    state.bucket.fill((now - state.filledAt) * this.#limitsPerHost.rate / 1000, this.#limitsPerHost.burst)
    state.filledAt = now
    decide(state.bucket.take(1) === 1)
  }

  setStoreAvailable (): void {}
  loseHost (): void {}
}
