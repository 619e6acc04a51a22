import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ServiceClass } from '@tanagerusher/coordination/fairness/service-class'
import { SlotScheduler } from '@tanagerusher/coordination/fairness/slot-scheduler'

interface CreateOptions {
  slots: number
  clock: Clock
}

interface WaitOptions {
  organisation: string
  priority: number
  timeLeftMs: number
}

/** `id` must be released when the statement's answer is there. */
type SlotAnswer = { type: 'granted', id: string } | { type: 'refused', reason: string }

/** Requests of one organisation that may wait at one database. */
const MAXIMUM_QUEUED = 200
const MEAN_SMOOTHING = 0.05
const INITIAL_MEAN_MS = 20

/** Slots of one database: a thin shell around the fair queue that answers by promise. */
export class SlotGate {
  readonly #clock: Clock
  readonly #scheduler: SlotScheduler
  readonly #slots: number
  readonly #waiting = new Map<string, (answer: SlotAnswer) => void>()
  readonly #startedAt = new Map<string, number>()
  #timer: NodeJS.Timeout | undefined
  #ids = 0
  #meanMs = INITIAL_MEAN_MS

  private constructor ({ slots, clock }: CreateOptions) {
    this.#slots = slots
    this.#clock = clock
    this.#scheduler = SlotScheduler.create({ slots })
  }

  static create (options: CreateOptions): SlotGate {
    return new SlotGate(options)
  }

  /** Time that a further statement is expected to wait. */
  estimateWaitMs (): number {
    const ahead = this.#scheduler.waiting + Math.max(0, this.#scheduler.running - this.#slots + 1)
    return ahead * this.#meanMs / this.#slots
  }

  get meanMs (): number { return this.#meanMs }
  get load (): { running: number, waiting: number } { return { running: this.#scheduler.running, waiting: this.#scheduler.waiting } }

  async wait ({ organisation, priority, timeLeftMs }: WaitOptions): Promise<SlotAnswer> {
    const now = this.#clock.readTime()
    const id = String(++this.#ids)
    const result = this.#scheduler.enqueue({
      id, organisation, weight: 1, serviceClass: findServiceClass(priority), deadline: now + timeLeftMs, maximumQueued: MAXIMUM_QUEUED
    }, now)
    if (result.type === 'refused') return { type: 'refused', reason: result.reason }
    return await new Promise((resolve) => {
      this.#waiting.set(id, resolve)
      this.#startNext()
    })
  }

  release (id: string): void {
    const now = this.#clock.readTime()
    const startedAt = this.#startedAt.get(id)
    if (startedAt !== undefined) this.#meanMs += (now - startedAt - this.#meanMs) * MEAN_SMOOTHING
    this.#startedAt.delete(id)
    this.#scheduler.finish(id, now)
    this.#startNext()
  }

  close (): void {
    clearTimeout(this.#timer)
    for (const [id, resolve] of this.#waiting) {
      this.#scheduler.remove(id)
      resolve({ type: 'refused', reason: 'the host gave the database up' })
    }
    this.#waiting.clear()
  }

  #startNext (): void {
    const now = this.#clock.readTime()
    for (const { id } of this.#scheduler.expire(now)) this.#answer(id, { type: 'refused', reason: 'no slot was free in time' })
    for (let next = this.#scheduler.start(now); next !== undefined; next = this.#scheduler.start(now)) {
      this.#startedAt.set(next.id, now)
      this.#answer(next.id, { type: 'granted', id: next.id })
    }
    this.#armTimer(now)
  }

  #answer (id: string, answer: SlotAnswer): void {
    this.#waiting.get(id)?.(answer)
    this.#waiting.delete(id)
  }

  #armTimer (now: number): void {
    clearTimeout(this.#timer)
    const deadline = this.#scheduler.findNextDeadline()
    this.#timer = deadline === undefined ? undefined : setTimeout(() => { this.#startNext() }, Math.max(1, deadline - now))
  }
}

function findServiceClass (priority: number): ServiceClass {
  return priority <= 1 ? 'critical' : priority === 2 ? 'interactive' : 'deferred'
}
