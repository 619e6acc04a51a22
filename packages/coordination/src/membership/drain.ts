export type DrainPhase = 'serving' | 'announcing' | 'finishing' | 'closing'

export type DrainEvent =
  | { type: 'start' }
  /** Number of requests, transactions or grants that still run. */
  | { type: 'work', remaining: number }
  | { type: 'tick' }

export type DrainEffect =
  /** Notify peers and the load balancer that no new work should be sent. Work that arrives anyway still runs. */
  | { type: 'announce' }
  /** Reject new work, and hand over work that other hosts can do. */
  | { type: 'stop-accepting' }
  /** All work has finished, or the time limit has passed. */
  | { type: 'close', isComplete: boolean }

interface CreateOptions {
  /** Time for the announcement to reach all senders of work. */
  announceMs?: number
  /** Longest time to wait for running work. */
  finishMs?: number
}

/** State machine of a graceful shutdown, the same in every process: announce, stop accepting, wait for running work, close. */
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
    if (this.#phase === 'announcing' && now >= (this.#deadline ?? now)) return this.#stopAccepting(now)
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

  #stopAccepting (now: number): DrainEffect[] {
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
