import { STATEMENT_KINDS } from './statement-kinds.js'

/** Factor by which a single statement may exceed the mean; 1% of the statements take 5 times as long as the others. */
const MAXIMUM_FACTOR = 4
const SMOOTHING = 0.05
/** With fewer statements of a kind, its mean is not reported. */
const MINIMUM_SAMPLES = 10

/** Moving averages of the service times of one database by kind of statement. Outliers are clipped. */
export class ServiceTimeTracker {
  readonly #counts = new Float64Array(STATEMENT_KINDS)
  readonly #meansMs = new Float64Array(STATEMENT_KINDS)

  static create (): ServiceTimeTracker {
    return new ServiceTimeTracker()
  }

  /** Records a service time and returns it, clipped to a multiple of the mean of its kind. */
  record (kind: number, serviceMs: number): number {
    const count = this.#counts[kind] as number
    const meanMs = this.#meansMs[kind] as number
    const clippedMs = count < MINIMUM_SAMPLES ? serviceMs : Math.min(serviceMs, MAXIMUM_FACTOR * meanMs)
    this.#meansMs[kind] = meanMs + (clippedMs - meanMs) * Math.max(SMOOTHING, 1 / (count + 1))
    this.#counts[kind] = count + 1
    return clippedMs
  }

  find (kind: number): number | undefined {
    return (this.#counts[kind] as number) < MINIMUM_SAMPLES ? undefined : this.#meansMs[kind]
  }
}
