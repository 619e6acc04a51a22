/** Numbers from 0 to 1 (mulberry32). */
export class SeededRandom {
  #state

  constructor (seed) {
    this.#state = seed >>> 0
  }

  next () {
    this.#state = (this.#state + 0x6D2B79F5) >>> 0
    let value = this.#state
    value = Math.imul(value ^ (value >>> 15), value | 1)
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61)
    return ((value ^ (value >>> 14)) >>> 0) / 4294967296
  }
}
