import { createHash } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Seeded pseudo-random generator. Two generators with the same seed and labels return the same values. */
export class SeededRandom {
  readonly #seed: string
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  private constructor (seed: string) {
    this.#seed = seed
    this.#generator = xoroshiro128plus(createHash('sha256').update(seed).digest().readInt32BE(0))
  }

  static create (seed: number | string): SeededRandom {
    return new SeededRandom(String(seed))
  }

  /** Creates an independent generator, so that the values of one caller do not depend on when another one takes its values. */
  createChild (label: string): SeededRandom {
    return new SeededRandom(`${this.#seed}/${label}`)
  }

  takeFraction (): number {
    return uniformFloat64(this.#generator)
  }

  takeInteger (minimum: number, maximum: number): number {
    return uniformInt(this.#generator, minimum, maximum)
  }

  takeBoolean (probability: number): boolean {
    return this.takeFraction() < probability
  }

  /** Returns an exponentially distributed duration, such as the time between two arrivals of a Poisson process. */
  takeExponential (mean: number): number {
    return -Math.log(1 - this.takeFraction()) * mean
  }

  choose<Item> (items: readonly Item[]): Item {
    return items[this.takeInteger(0, items.length - 1)] as Item
  }
}
