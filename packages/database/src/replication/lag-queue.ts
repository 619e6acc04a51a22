interface CreateOptions<Item> {
  readTime: () => number
  /** Current lag; Infinity holds back all items. */
  readLagMs: () => number
  deliver: (item: Item) => void
}

/** Delays items by the current lag and delivers them in order. */
export class LagQueue<Item> {
  readonly #options: CreateOptions<Item>
  #items: Array<{ item: Item, queuedAt: number }> = []
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
    this.#items.push({ item, queuedAt: this.#options.readTime() })
    this.update()
  }

  /** Delivers the items that are due. It must also be called after each change of the lag. */
  update (): void {
    clearTimeout(this.#timer)
    const { readTime, readLagMs, deliver } = this.#options
    const now = readTime()
    const lagMs = readLagMs()
    while (this.#items.length > 0 && (this.#items[0] as { queuedAt: number }).queuedAt + lagMs <= now) deliver((this.#items.shift() as { item: Item }).item)
    const next = this.#items[0]
    if (next !== undefined && Number.isFinite(lagMs)) this.#timer = setTimeout(() => { this.update() }, Math.max(1, next.queuedAt + lagMs - now))
  }

  close (): void {
    clearTimeout(this.#timer)
    this.#items = []
  }
}
