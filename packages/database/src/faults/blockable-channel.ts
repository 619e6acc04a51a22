interface CreateOptions<Item> {
  /** Latency of every item. */
  delayMs: number
  isBlocked: () => boolean
  deliver: (item: Item) => void
}

/** One direction of a connection with injected faults: delivers items in order after a delay and holds them while it is blocked. */
export class BlockableChannel<Item> {
  readonly #options: CreateOptions<Item>
  #heldItems: Item[] = []
  #isClosed = false

  private constructor (options: CreateOptions<Item>) {
    this.#options = options
  }

  static create<Item> (options: CreateOptions<Item>): BlockableChannel<Item> {
    return new BlockableChannel(options)
  }

  get hasHeldItems (): boolean { return this.#heldItems.length > 0 }

  push (item: Item): void {
    const { delayMs } = this.#options
    if (delayMs === 0) this.#receive(item)
    else setTimeout(() => { this.#receive(item) }, delayMs)
  }

  /** Delivers held items until the direction is blocked or none is left. */
  release (): void {
    while (this.#heldItems.length > 0 && !this.#options.isBlocked()) this.#options.deliver(this.#heldItems.shift() as Item)
  }

  /** Drops all items that have not been delivered. */
  close (): void {
    this.#isClosed = true
    this.#heldItems = []
  }

  #receive (item: Item): void {
    if (this.#isClosed) return
    if (this.#heldItems.length > 0 || this.#options.isBlocked()) this.#heldItems.push(item)
    else this.#options.deliver(item)
  }
}
