import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

interface QueuedEvent {
  at: number
  sequence: number
  run: () => void
}

/** Discrete-event queue in virtual time with a seeded random number generator. Equal seeds give equal runs. */
export class EventQueue {
  readonly #events: QueuedEvent[] = []
  readonly #random: ReturnType<typeof xoroshiro128plus>
  #now = 0
  #sequence = 0

  private constructor (seed: number) {
    this.#random = xoroshiro128plus(seed)
  }

  static create ({ seed }: { seed: number }): EventQueue {
    return new EventQueue(seed)
  }

  get now (): number {
    return this.#now
  }

  /** Returns a random integer from `minimum` to `maximum`, both included. */
  chooseNumber (minimum: number, maximum: number): number {
    return uniformInt(this.#random, minimum, maximum)
  }

  add (delayMs: number, run: () => void): void {
    const event = { at: this.#now + delayMs, sequence: this.#sequence++, run }
    let index = this.#events.length
    while (index > 0 && (this.#events[index - 1] as QueuedEvent).at > event.at) index--
    this.#events.splice(index, 0, event)
  }

  /** Returns the time of the next event, or undefined when none is due up to `time`. */
  findNextTime (time: number): number | undefined {
    const at = this.#events[0]?.at
    return at !== undefined && at <= time ? at : undefined
  }

  runUntil (time: number): void {
    for (let next = this.#events[0]; next !== undefined && next.at <= time; next = this.#events[0]) {
      this.#events.shift()
      this.#now = next.at
      next.run()
    }
    this.#now = time
  }
}
