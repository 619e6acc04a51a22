import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RetryRequest } from './retry-request.js'

interface CreateOptions {
  seed: number
  baseDelayMs: number
  maximumDelayMs: number
  /** Number of retries that each request adds to the retry budget. */
  budgetRatio: number
  /** Largest number of retries that the budget can hold. */
  maximumBudget: number
}

export type RetryDecision = { type: 'retry', delayMs: number } | { type: 'fail' }

/**
 * Decides whether a failed request is retried. The retry budget limits retries of work that may have run to a fraction of the
 * requests, so that retries cannot multiply the load of a slow upstream. Retries of work that certainly did not run are limited
 * only by the delay, an exponential backoff with full jitter.
 */
export class RetryPolicy {
  readonly #options: CreateOptions
  readonly #random: ReturnType<typeof xoroshiro128plus>
  #budget: number

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#random = xoroshiro128plus(options.seed)
    this.#budget = options.maximumBudget
  }

  static create (options: CreateOptions): RetryPolicy {
    return new RetryPolicy(options)
  }

  recordRequest (): void {
    this.#budget = Math.min(this.#options.maximumBudget, this.#budget + this.#options.budgetRatio)
  }

  decide ({ attempt, outcome, isRepeatable, isInTransaction, deadline }: RetryRequest, now: number): RetryDecision {
    if (isInTransaction || (outcome === 'unknown' && !isRepeatable)) return { type: 'fail' }
    const cost = outcome === 'unknown' ? 1 : 0
    if (this.#budget < cost) return { type: 'fail' }
    const delayMs = this.#computeDelayMs(attempt)
    if (now + delayMs >= deadline) return { type: 'fail' }
    this.#budget -= cost
    return { type: 'retry', delayMs }
  }

  /** The first retry has no delay, because it is sent to a different host or database. */
  #computeDelayMs (attempt: number): number {
    if (attempt === 0) return 0
    const limit = Math.min(this.#options.maximumDelayMs, this.#options.baseDelayMs * 2 ** (attempt - 1))
    return uniformFloat64(this.#random) * limit
  }
}
