/**
 * Segment tree that finds the largest excess of admitted statements over rate x length + burst in any window. Work counts
 * in a window only when it began and ended inside it. A caller cannot observe the time of admission, but it then lies
 * inside the window too.
 */
export class WindowExcess {
  readonly #size: number
  readonly #maximum: Float64Array
  readonly #pendingAddition: Float64Array

  private constructor (ends: number[], ratePerMs: number) {
    this.#size = ends.length
    this.#maximum = new Float64Array(4 * this.#size)
    this.#pendingAddition = new Float64Array(4 * this.#size)
    this.#fill(1, 0, this.#size - 1, ends, ratePerMs)
  }

  /** Returns the largest excess and the start of the window in which it occurs, or `undefined` when there is no work. */
  static find (work: Array<{ startMs: number, endMs: number, statements: number }>, rate: number, burst: number): { excess: number, startMs: number } | undefined {
    if (work.length === 0) return undefined
    const ratePerMs = rate / 1000
    const ends = work.map(({ endMs }) => endMs).sort((left, right) => left - right)
    const tree = new WindowExcess(ends, ratePerMs)
    let largest = { excess: -Infinity, startMs: 0 }
    for (const { startMs, endMs, statements } of [...work].sort((left, right) => right.startMs - left.startMs)) {
      tree.#addFrom(findFirstAtLeast(ends, endMs), statements)
      const excess = tree.#findMaximumFrom(findFirstAtLeast(ends, startMs)) + ratePerMs * startMs - burst
      if (excess > largest.excess) largest = { excess, startMs }
    }
    return largest
  }

  #fill (node: number, low: number, high: number, ends: number[], ratePerMs: number): void {
    this.#maximum[node] = -ratePerMs * (ends[low] as number)
    if (low === high) return
    const middle = (low + high) >> 1
    this.#fill(2 * node, low, middle, ends, ratePerMs)
    this.#fill(2 * node + 1, middle + 1, high, ends, ratePerMs)
  }

  #findMaximumFrom (from: number, node = 1, low = 0, high = this.#size - 1): number {
    if (high < from) return -Infinity
    if (low >= from) return this.#maximum[node] as number
    const middle = (low + high) >> 1
    const best = Math.max(this.#findMaximumFrom(from, 2 * node, low, middle), this.#findMaximumFrom(from, 2 * node + 1, middle + 1, high))
    return best + (this.#pendingAddition[node] as number)
  }

  /** Adds `amount` to every window that ends at index `from` or later. */
  #addFrom (from: number, amount: number, node = 1, low = 0, high = this.#size - 1): void {
    if (high < from) return
    if (low >= from) {
      this.#maximum[node] = (this.#maximum[node] as number) + amount
      this.#pendingAddition[node] = (this.#pendingAddition[node] as number) + amount
      return
    }
    const middle = (low + high) >> 1
    this.#addFrom(from, amount, 2 * node, low, middle)
    this.#addFrom(from, amount, 2 * node + 1, middle + 1, high)
    this.#maximum[node] = Math.max(this.#maximum[2 * node] as number, this.#maximum[2 * node + 1] as number) + (this.#pendingAddition[node] as number)
  }
}

function findFirstAtLeast (sorted: number[], value: number): number {
  let low = 0
  let high = sorted.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((sorted[middle] as number) < value) low = middle + 1
    else high = middle
  }
  return low
}
