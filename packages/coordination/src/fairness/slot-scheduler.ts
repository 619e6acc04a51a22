import { FairQueue, type EnqueueResult } from './fair-queue.js'
import type { QueuedRequest } from './queued-request.js'

interface CreateOptions {
  slots: number
}

interface SlotHolder {
  organisation: string
  startedAt: number
}

/** Statements above this mean slot time count as long. Shorter ones release their slot soon enough for other organisations. */
const LONG_STATEMENT_MS = 50
/** An organisation counts as active for this time after its last request. */
const ACTIVE_WINDOW_MS = 2000

/**
 * Assigns the slots of one database to waiting requests. A transaction holds its slot until it ends. Running statements cannot
 * be interrupted, so an organisation with long statements leaves one slot to the others while any of them is active.
 */
export class SlotScheduler {
  #slots: number
  readonly #queue: FairQueue
  readonly #holders = new Map<string, SlotHolder>()
  readonly #lastRequestAt = new Map<string, number>()
  #paused = false

  private constructor (slots: number) {
    this.#slots = slots
    this.#queue = FairQueue.create({ slots })
  }

  static create ({ slots }: CreateOptions): SlotScheduler {
    return new SlotScheduler(slots)
  }

  get running (): number { return this.#holders.size }
  get waiting (): number { return this.#queue.size }

  /** Changes the number of slots. After a decrease, no request starts until enough running ones have finished. */
  updateSlots (slots: number): void {
    this.#slots = slots
    this.#queue.updateSlots(slots)
  }

  enqueue (request: QueuedRequest, now: number): EnqueueResult {
    this.#lastRequestAt.set(request.organisation, now)
    return this.#queue.enqueue(request, now)
  }

  /**
   * Removes and returns the next request that may run now; it holds a slot until `finish`. Organisations for which
   * `hasConnection` returns false keep waiting, since they could not use the slot.
   */
  start (now: number, hasConnection: (organisation: string) => boolean = () => true): QueuedRequest | undefined {
    if (this.#paused || this.#holders.size >= this.#slots || this.#queue.size === 0) return undefined
    const request = this.#queue.take((organisation, meanCostMs) => this.#isEligible(organisation, meanCostMs, now) && hasConnection(organisation))
    if (request !== undefined) this.#holders.set(request.id, { organisation: request.organisation, startedAt: now })
    return request
  }

  /**
   * Assigns a free slot, or one of the extra slots, to a request that bypasses the queue. Returns false when no slot is free or the
   * scheduler is paused.
   */
  startAheadOfQueue (id: string, organisation: string, now: number, extraSlots = 0): boolean {
    if (this.#paused || this.#holders.size >= this.#slots + extraSlots) return false
    this.#lastRequestAt.set(organisation, now)
    this.#holders.set(id, { organisation, startedAt: now })
    return true
  }

  finish (id: string, now: number): void {
    const holder = this.#holders.get(id)
    if (holder === undefined) return
    this.#holders.delete(id)
    this.#queue.finish(id, holder.organisation, now - holder.startedAt)
  }

  remove (id: string): boolean {
    return this.#queue.remove(id)
  }

  expire (now: number): QueuedRequest[] {
    return this.#queue.expire(now)
  }

  findNextDeadline (): number | undefined {
    return this.#queue.findNextDeadline()
  }

  /** Stops assigning slots during a planned change of primary; requests keep waiting until their deadline. */
  pause (): void { this.#paused = true }
  resume (): void { this.#paused = false }

  #isEligible (organisation: string, meanCostMs: number, now: number): boolean {
    if (this.#slots === 1) return true
    let held = 0
    let longestMs = meanCostMs
    for (const holder of this.#holders.values()) {
      if (holder.organisation !== organisation) continue
      held++
      longestMs = Math.max(longestMs, now - holder.startedAt)
    }
    return held < this.#slots - 1 || longestMs < LONG_STATEMENT_MS || !this.#isOtherActive(organisation, now)
  }

  #isOtherActive (organisation: string, now: number): boolean {
    for (const [other, activeAt] of this.#lastRequestAt) {
      if (now - activeAt > ACTIVE_WINDOW_MS) this.#lastRequestAt.delete(other)
      else if (other !== organisation) return true
    }
    return false
  }
}
