/** Upper bounds of the latency buckets in ms, inclusive as in Prometheus. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 600, 1000, 2000, 5000]

/** Counters of one host. They are plain numbers, to keep the path of a request cheap; the Prometheus registry is built per scrape. */
export class HostMetrics {
  readonly #statements = new Map<string, number>()
  readonly #buckets = BUCKETS_MS.map(() => 0)
  #sumMs = 0
  #count = 0
  #evacuationRefusals = 0
  #rateRefusals = 0

  static create (): HostMetrics {
    return new HostMetrics()
  }

  get statements (): ReadonlyMap<string, number> { return this.#statements }
  get latency (): { boundsMs: readonly number[], counts: readonly number[], sumMs: number, count: number } {
    return { boundsMs: BUCKETS_MS, counts: this.#buckets, sumMs: this.#sumMs, count: this.#count }
  }

  get evacuationRefusals (): number { return this.#evacuationRefusals }

  recordEvacuationRefusal (): void {
    this.#evacuationRefusals++
  }

  get rateRefusals (): number { return this.#rateRefusals }

  recordRateRefusal (): void {
    this.#rateRefusals++
  }

  recordStatement (outcome: string, tookMs: number): void {
    this.#statements.set(outcome, (this.#statements.get(outcome) ?? 0) + 1)
    this.#sumMs += tookMs
    this.#count++
    const index = BUCKETS_MS.findIndex((bound) => tookMs <= bound)
    if (index >= 0) this.#buckets[index] = (this.#buckets[index] as number) + 1
  }
}
