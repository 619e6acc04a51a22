import type { PauseDetector } from '@tanagerusher/coordination/clock/pause-detector'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { SlotLimiter } from './slot-limiter.js'

interface CreateOptions {
  record: UpstreamRecord
  slots: SlotLimiter
  /** Undefined when the capacity of databases is not learned. */
  pauses: PauseDetector | undefined
  clock: Clock
  logger: Logger
}

/** Minimum time between two log lines about the learned concurrency of a database. */
const LOG_INTERVAL_MS = 1000

/** Passes the service times of one database on to its slot limiter, and logs changes of the learned concurrency. */
export class CapacityRecorder {
  readonly #options: CreateOptions
  #loggedConcurrency: number
  #loggedAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#loggedConcurrency = options.slots.learned.concurrency
  }

  static create (options: CreateOptions): CapacityRecorder {
    return new CapacityRecorder(options)
  }

  /** Records the response to a statement that was sent at `sentAt`. A time that includes a pause of this process does not count. */
  recordResponse (slotId: string, { operation, priority }: UpstreamExecuteParams, answer: StatementResponse, sentAt: number): void {
    const { slots, pauses, clock } = this.#options
    if (pauses === undefined) return
    const now = clock.readTime()
    if (answer.type === 'failed' && answer.failure === 'busy') slots.recordBusy()
    if (answer.type === 'done' && !pauses.hasPaused(sentAt, now)) {
      slots.recordServiceTime(slotId, operation.type === 'run' ? operation.access : 'commit', priority, now - sentAt)
    }
    if (slots.learned.concurrency !== this.#loggedConcurrency && now - this.#loggedAt >= LOG_INTERVAL_MS) this.#log(now)
  }

  #log (now: number): void {
    const { record, slots, logger } = this.#options
    const { concurrency, change } = slots.learned
    logger.info('learned concurrency changed', { database: record.id, from: this.#loggedConcurrency, to: concurrency, slots: record.slots, ...change, ...slots.load })
    this.#loggedConcurrency = concurrency
    this.#loggedAt = now
  }
}
