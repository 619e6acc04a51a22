import { ConcurrencyLimit } from '@tanagerusher/coordination/capacity/concurrency-limit'
import { findStatementKind } from '@tanagerusher/coordination/capacity/find-statement-kind'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { findServiceClass } from '@tanagerusher/coordination/fairness/find-service-class'
import { WarmupAllowance } from '@tanagerusher/coordination/fairness/warmup-allowance'
import { SlotScheduler } from '@tanagerusher/coordination/fairness/slot-scheduler'

interface CreateOptions {
  slots: number
  clock: Clock
  /** Whether a request of the organisation would get a connection immediately, so that no slot is held while it waits for one. */
  hasConnection: (organisation: string) => boolean
  /** Requests per second that this owner may send at present; undefined unless the database is cold. */
  findWarmupRate: () => number | undefined
}

interface WaitOptions {
  organisation: string
  priority: number
  timeLeftMs: number
  /** Whether the statement belongs to an open transaction. These start first: their transactions hold connections and locks that others wait for. */
  isPinned: boolean
}

interface RunningStatement {
  startedAt: number
  /** From `ConcurrencyLimit.start`. */
  tag: number
  kind: number
  serviceMs: number | undefined
}

interface PinnedRequest { id: string, organisation: string, deadline: number }

/** `id` must be released when the response to the statement has arrived. */
type SlotResult = { type: 'granted', id: string } | { type: 'refused', reason: string }

/** Maximum number of requests of one organisation that wait for one database. */
const MAXIMUM_QUEUED = 200
const MEAN_SMOOTHING_FACTOR = 0.05
const INITIAL_MEAN_SERVICE_MS = 20
/** Bound of a reported wait, since Infinity cannot be encoded; above every statement timeout. */
const MAXIMUM_WARMUP_WAIT_MS = 60_000
const COLD_REASON = 'the database is cold and its requests per second are used up'

/**
 * Limits the statements that run on one database at a time, to its slots or to the lower number that it was found to run well.
 * Wraps the fair queue in a promise-based interface.
 */
export class SlotLimiter {
  readonly #clock: Clock
  readonly #scheduler: SlotScheduler
  readonly #limit: ConcurrencyLimit
  readonly #slots: number
  readonly #hasConnection: CreateOptions['hasConnection']
  readonly #findWarmupRate: CreateOptions['findWarmupRate']
  readonly #allowance = WarmupAllowance.create()
  #pinned: PinnedRequest[] = []
  readonly #waiters = new Map<string, (answer: SlotResult) => void>()
  readonly #running = new Map<string, RunningStatement>()
  #timer: NodeJS.Timeout | undefined
  #lastId = 0
  #meanServiceMs = INITIAL_MEAN_SERVICE_MS

  private constructor ({ slots, clock, hasConnection, findWarmupRate }: CreateOptions) {
    this.#findWarmupRate = findWarmupRate
    this.#hasConnection = hasConnection
    this.#slots = slots
    this.#limit = ConcurrencyLimit.create({ slots })
    this.#clock = clock
    this.#scheduler = SlotScheduler.create({ slots })
  }

  static create (options: CreateOptions): SlotLimiter {
    return new SlotLimiter(options)
  }

  /** Estimates the time in ms that a further statement would wait. */
  estimateWaitMs (): number {
    const ahead = this.#scheduler.waiting + this.#pinned.length + Math.max(0, this.#scheduler.running - this.#limit.limit + 1)
    return Math.max(ahead * this.#meanServiceMs / this.#limit.limit, Math.min(MAXIMUM_WARMUP_WAIT_MS, this.estimateWarmupWaitMs()))
  }

  /** Time in ms until new work gets an allowance of the cold database, Infinity when this owner may send none; 0 when it is not cold. */
  estimateWarmupWaitMs (): number {
    const now = this.#clock.readTime()
    this.#allowance.update(this.#findWarmupRate(), now)
    return this.#allowance.estimateWaitMs(this.load.waiting, now)
  }

  /** Number of concurrent statements that the database was found to run well, and why it was last changed. */
  get learned (): { concurrency: number, change: ConcurrencyLimit['lastChange'] } { return { concurrency: this.#limit.learned, change: this.#limit.lastChange } }

  /** Returns the expected time in ms from sending a read of this priority to its response; undefined when too few were measured. */
  findReadServiceMs (priority: number): number | undefined { return this.#limit.findServiceMs(findStatementKind('read', priority)) }

  get load (): { running: number, waiting: number } { return { running: this.#scheduler.running, waiting: this.#scheduler.waiting + this.#pinned.length } }

  async wait ({ organisation, priority, timeLeftMs, isPinned }: WaitOptions): Promise<SlotResult> {
    const now = this.#clock.readTime()
    const id = String(++this.#lastId)
    if (isPinned) {
      this.#pinned.push({ id, organisation, deadline: now + timeLeftMs })
      return await this.#waitForStart(id)
    }
    if (this.estimateWarmupWaitMs() > timeLeftMs) return { type: 'refused', reason: COLD_REASON }
    const result = this.#scheduler.enqueue({
      id, organisation, weight: 1, serviceClass: findServiceClass(priority), deadline: now + timeLeftMs, maximumQueued: MAXIMUM_QUEUED
    }, now)
    if (result.type === 'refused') return { type: 'refused', reason: result.reason }
    return await this.#waitForStart(id)
  }

  /** Starts waiting requests; called when a connection may have become idle. */
  startWaiting (): void {
    if (this.#scheduler.waiting > 0) this.#startNext()
  }

  /** Records the time from sending a statement to its response. Without a call before `release`, the statement does not count. */
  recordServiceTime (id: string, access: 'read' | 'write' | 'commit', priority: number, serviceMs: number): void {
    const statement = this.#running.get(id)
    if (statement === undefined) return
    statement.kind = findStatementKind(access, priority)
    statement.serviceMs = serviceMs
  }

  /** Records that the database shed a statement although it had a slot. */
  recordBusy (): void {
    this.#limit.recordBusy(this.#scheduler.running, this.#clock.readTime())
  }

  release (id: string): void {
    const now = this.#clock.readTime()
    const statement = this.#running.get(id)
    if (statement !== undefined) {
      this.#meanServiceMs += (now - statement.startedAt - this.#meanServiceMs) * MEAN_SMOOTHING_FACTOR
      this.#limit.finish(statement.tag, statement.kind, statement.serviceMs, now)
    }
    this.#running.delete(id)
    this.#scheduler.finish(id, now)
    this.#scheduler.updateSlots(this.#limit.limit)
    this.#startNext()
  }

  /** Refuses the statements that wait. */
  stopWaiting (reason: string): void {
    clearTimeout(this.#timer)
    for (const [id, resolve] of this.#waiters) {
      this.#scheduler.remove(id)
      resolve({ type: 'refused', reason })
    }
    this.#waiters.clear()
    this.#pinned = []
  }

  close (): void {
    this.stopWaiting('the host gave the database up')
  }

  async #waitForStart (id: string): Promise<SlotResult> {
    return await new Promise((resolve) => {
      this.#waiters.set(id, resolve)
      this.#startNext()
    })
  }

  /**
   * Open transactions may use one slot above a lowered limit. Otherwise statements that wait for a lock could hold all slots until their
   * deadline while the COMMIT of the lock's holder waits for one.
   */
  #startPinned (now: number): void {
    const extraSlots = this.#limit.limit < this.#slots ? 1 : 0
    this.#pinned = this.#pinned.filter(({ id, organisation, deadline }) => {
      if (deadline <= now) this.#notifyWaiter(id, { type: 'refused', reason: 'no slot was free in time' })
      else if (!this.#allowance.has(now) || !this.#scheduler.startAheadOfQueue(id, organisation, now, extraSlots)) return true
      else {
        this.#allowance.take(now)
        this.#recordStart(id, now)
        this.#notifyWaiter(id, { type: 'granted', id })
      }
      return false
    })
  }

  #startNext (): void {
    const now = this.#clock.readTime()
    this.#allowance.update(this.#findWarmupRate(), now)
    this.#startPinned(now)
    for (const { id } of this.#scheduler.expire(now)) this.#notifyWaiter(id, { type: 'refused', reason: 'no slot was free in time' })
    for (let next = this.#takeNext(now); next !== undefined; next = this.#takeNext(now)) {
      this.#recordStart(next.id, now)
      this.#notifyWaiter(next.id, { type: 'granted', id: next.id })
    }
    this.#startTimer(now)
  }

  #recordStart (id: string, now: number): void {
    this.#running.set(id, { startedAt: now, tag: this.#limit.start(this.#scheduler.running, now), kind: 0, serviceMs: undefined })
    this.#scheduler.updateSlots(this.#limit.limit)
  }

  #takeNext (now: number): { id: string } | undefined {
    // Statements of open transactions use the allowance first.
    if (!this.#allowance.has(now)) return undefined
    const next = this.#scheduler.start(now, this.#hasConnection)
    if (next !== undefined) this.#allowance.take(now)
    return next
  }

  #notifyWaiter (id: string, answer: SlotResult): void {
    this.#waiters.get(id)?.(answer)
    this.#waiters.delete(id)
  }

  #startTimer (now: number): void {
    clearTimeout(this.#timer)
    const deadlines = [this.#scheduler.findNextDeadline() ?? Infinity, ...this.#pinned.map((request) => request.deadline)]
    const allowanceMs = this.#allowance.estimateWaitMs(0, now)
    if (allowanceMs > 0 && this.load.waiting > 0) deadlines.push(now + allowanceMs)
    const deadline = Math.min(...deadlines)
    this.#timer = deadline === Infinity ? undefined : setTimeout(() => { this.#startNext() }, Math.max(1, deadline - now))
  }
}
