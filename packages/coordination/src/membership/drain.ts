export type DrainPhase = 'serving' | 'announcing' | 'finishing' | 'closing'

export type DrainEvent =
  | { type: 'start' }
  /** Requests, transactions or grants that still run. */
  | { type: 'work', remaining: number }
  | { type: 'tick' }

export type DrainEffect =
  /** Tell peers and the balancer that no new work should come; work that comes still runs. */
  | { type: 'announce' }
  /** Take no new work; hand over what others can do. */
  | { type: 'stop-accepting' }
  /** Nothing runs any more, or the time is over. */
  | { type: 'close', isComplete: boolean }

interface CreateOptions {
  /** Time for the announcement to reach those who send work. */
  announceMs?: number
  /** Longest time to wait for work that runs. */
  finishMs?: number
}

/** Steps of a graceful shutdown, the same in every process: announce, stop accepting, finish, close. */
export class Drain {
  readonly #announceMs: number
  readonly #finishMs: number
  #phase: DrainPhase = 'serving'
  #remaining = 0
  #deadline: number | undefined

  private constructor ({ announceMs = 1000, finishMs = 15_000 }: CreateOptions) {
    this.#announceMs = announceMs
    this.#finishMs = finishMs
  }

  static create (options: CreateOptions = {}): Drain {
    return new Drain(options)
  }

  get phase (): DrainPhase { return this.#phase }

  handle (event: DrainEvent, now: number): DrainEffect[] {
    if (event.type === 'work') this.#remaining = event.remaining
    if (event.type === 'start') return this.#start(now)
    if (this.#phase === 'announcing' && now >= (this.#deadline ?? now)) return this.#finish(now)
    if (this.#phase === 'finishing' && (this.#remaining === 0 || now >= (this.#deadline ?? now))) return this.#close()
    return []
  }

  findNextDeadline (): number | undefined {
    return this.#deadline
  }

  #start (now: number): DrainEffect[] {
    if (this.#phase !== 'serving') return []
    this.#phase = 'announcing'
    this.#deadline = now + this.#announceMs
    return [{ type: 'announce' }]
  }

  #finish (now: number): DrainEffect[] {
    this.#phase = 'finishing'
    this.#deadline = now + this.#finishMs
    return this.#remaining === 0 ? [{ type: 'stop-accepting' }, ...this.#close()] : [{ type: 'stop-accepting' }]
  }

  #close (): DrainEffect[] {
    this.#phase = 'closing'
    this.#deadline = undefined
    return [{ type: 'close', isComplete: this.#remaining === 0 }]
  }
}
