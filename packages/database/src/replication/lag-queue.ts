interface CreateOptions<Item> {
  readTime: () => number
  /** Infinity holds everything back. */
  readLagMs: () => number
  deliver: (item: Item) => void
}

/** Delivers items in order, each as late as the lag in force says. */
export class LagQueue<Item> {
  readonly #options: CreateOptions<Item>
  #items: Array<{ item: Item, at: number }> = []
  #timer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions<Item>) {
    this.#options = options
  }

  static create<Item> (options: CreateOptions<Item>): LagQueue<Item> {
    return new LagQueue(options)
  }

  push (item: Item): void {
    if (this.#items.length === 0 && this.#options.readLagMs() === 0) {
      this.#options.deliver(item)
      return
    }
    this.#items.push({ item, at: this.#options.readTime() })
    this.update()
  }

  /** Delivers what is due; call it when the lag changed. */
  update (): void {
    clearTimeout(this.#timer)
    const { readTime, readLagMs, deliver } = this.#options
    const now = readTime()
    const lag = readLagMs()
    while (this.#items.length > 0 && (this.#items[0] as { at: number }).at + lag <= now) deliver((this.#items.shift() as { item: Item }).item)
    const next = this.#items[0]
    if (next !== undefined && Number.isFinite(lag)) this.#timer = setTimeout(() => { this.update() }, Math.max(1, next.at + lag - now))
  }

  close (): void {
    clearTimeout(this.#timer)
    this.#items = []
  }
}
