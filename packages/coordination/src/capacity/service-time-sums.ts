import { STATEMENT_KINDS } from './statement-kinds.js'

interface ServiceTimeDifference {
  /** Difference of the mean logarithms; 0.1 means about 10% longer. */
  difference: number
  standardError: number
}

/** Standard deviation of the logarithm of a service time, used while there are too few samples to compute it. */
const MINIMUM_DEVIATION = 0.3

/** Sums of the logarithms of service times by kind of statement. Logarithms bound the influence of the long tail. */
export class ServiceTimeSums {
  readonly #counts = new Float64Array(STATEMENT_KINDS)
  readonly #sums = new Float64Array(STATEMENT_KINDS)
  readonly #squares = new Float64Array(STATEMENT_KINDS)
  #count = 0

  static create (): ServiceTimeSums {
    return new ServiceTimeSums()
  }

  get count (): number { return this.#count }

  add (kind: number, logarithm: number): void {
    this.#counts[kind] = this.#read(this.#counts, kind) + 1
    this.#sums[kind] = this.#read(this.#sums, kind) + logarithm
    this.#squares[kind] = this.#read(this.#squares, kind) + logarithm * logarithm
    this.#count++
  }

  /** Multiplies the weight of all samples, so that later ones count more. */
  scale (factor: number): void {
    for (const values of [this.#counts, this.#sums, this.#squares]) values.forEach((value, kind) => { values[kind] = value * factor })
    this.#count *= factor
  }

  /** Returns by how much these service times exceed the others, comparing each kind with itself; undefined without a common kind. */
  compare (other: ServiceTimeSums): ServiceTimeDifference | undefined {
    let weights = 0
    let weighted = 0
    let squares = 0
    let freedom = 0
    for (let kind = 0; kind < STATEMENT_KINDS; kind++) {
      const [count, otherCount] = [this.#read(this.#counts, kind), this.#read(other.#counts, kind)]
      if (count < 1 || otherCount < 1) continue
      const weight = count * otherCount / (count + otherCount)
      weights += weight
      weighted += weight * (this.#read(this.#sums, kind) / count - this.#read(other.#sums, kind) / otherCount)
      squares += this.#computeDeviationSquares(kind) + other.#computeDeviationSquares(kind)
      freedom += count + otherCount
    }
    if (weights === 0) return undefined
    const deviation = Math.max(MINIMUM_DEVIATION, Math.sqrt(squares / freedom))
    return { difference: weighted / weights, standardError: deviation / Math.sqrt(weights) }
  }

  #computeDeviationSquares (kind: number): number {
    const sum = this.#read(this.#sums, kind)
    return Math.max(0, this.#read(this.#squares, kind) - sum * sum / this.#read(this.#counts, kind))
  }

  #read (values: Float64Array, kind: number): number { return values[kind] as number }
}
