interface CreateOptions<Item> {
  /** Time that every item takes to arrive. */
  delayMs: number
  isBlocked: () => boolean
  deliver: (item: Item) => void
}

/** One direction of a connection: items arrive late, in order, and are held while the direction is blocked. */
export class HeldChannel<Item> {
  readonly #options: CreateOptions<Item>
  #held: Item[] = []
  #closed = false

  private constructor (options: CreateOptions<Item>) {
    this.#options = options
  }

  static create<Item> (options: CreateOptions<Item>): HeldChannel<Item> {
    return new HeldChannel(options)
  }

  get isHolding (): boolean { return this.#held.length > 0 }

  push (item: Item): void {
    const { delayMs } = this.#options
    if (delayMs === 0) this.#arrive(item)
    else setTimeout(() => { this.#arrive(item) }, delayMs)
  }

  /** Delivers held items as far as the direction is open again. */
  release (): void {
    while (this.#held.length > 0 && !this.#options.isBlocked()) this.#options.deliver(this.#held.shift() as Item)
  }

  /** Drops everything that has not arrived. */
  close (): void {
    this.#closed = true
    this.#held = []
  }

  #arrive (item: Item): void {
    if (this.#closed) return
    if (this.#held.length > 0 || this.#options.isBlocked()) this.#held.push(item)
    else this.#options.deliver(item)
  }
}
