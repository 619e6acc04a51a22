import type { WatchEvents } from './watch-events.js'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore, StoreFailure } from '@tanagerusher/coordination/common/object-store'
import type { Logger } from 'winston'

interface CreateOptions {
  store: ObjectStore
  kind: string
  /** Longest wait of one watch call. */
  waitMs: number
  clock: Clock
  logger: Logger
  events: WatchEvents
  /** Whether to call the store now; asked before each call. Another host's news may do instead. */
  isWanted?: () => boolean
}

const MINIMUM_RETRY_MS = 100
const MAXIMUM_RETRY_MS = 800
const UNWANTED_PAUSE_MS = 100
/** A watch that keeps answering at once must not turn into a loop of calls. */
const MINIMUM_PERIOD_MS = 50

/** Keeps one kind of objects current: a list, then watches; a list again when the history is gone. */
export class ObjectWatcher {
  readonly #options: CreateOptions
  #revision: number | undefined
  #failures = 0
  #isClosed = false
  #lostAt: number | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ObjectWatcher {
    return new ObjectWatcher(options)
  }

  /** Time of the last return of the store after it could not be reached; undefined when it never failed. */
  regainedAt: number | undefined

  /** Time since the store has not answered; 0 while it does. */
  readLostMs (now: number): number {
    return this.#lostAt === undefined ? 0 : now - this.#lostAt
  }

  async run (): Promise<void> {
    const { isWanted = () => true } = this.#options
    while (!this.#isClosed) {
      if (!isWanted()) {
        await pause(UNWANTED_PAUSE_MS)
        continue
      }
      const startedAt = this.#options.clock.readTime()
      const failure = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision)
      if (this.#isClosed) return
      this.#recordOutcome(failure)
      const elapsedMs = this.#options.clock.readTime() - startedAt
      await pause(failure === undefined ? Math.max(0, MINIMUM_PERIOD_MS - elapsedMs) : this.#findRetryMs(failure))
    }
  }

  close (): void {
    this.#isClosed = true
  }

  async #list (): Promise<StoreFailure | undefined> {
    const sentAt = this.#options.clock.readTime()
    const answer = await this.#options.store.list(this.#options.kind)
    if (answer.type !== 'ok') return answer
    if (this.#isClosed) return undefined
    this.#revision = answer.value.revision
    this.#options.events.handleList(answer.value.objects)
    this.#options.events.handleConfirmed(sentAt)
    return undefined
  }

  async #watch (revision: number): Promise<StoreFailure | undefined> {
    const sentAt = this.#options.clock.readTime()
    const answer = await this.#options.store.watch(this.#options.kind, revision, this.#options.waitMs)
    if (answer.type !== 'ok') return answer
    if (this.#isClosed) return undefined
    this.#revision = answer.value.revision
    for (const { object, isRemoved } of answer.value.changes) this.#options.events.handleChange(object, isRemoved)
    this.#options.events.handleConfirmed(sentAt)
    return undefined
  }

  #recordOutcome (failure: StoreFailure | undefined): void {
    const { logger, kind, clock } = this.#options
    if (failure?.type === 'history-gone') {
      this.#revision = undefined
      logger.warn('history of the store is gone', { kind })
      return
    }
    if (failure === undefined) {
      this.#failures = 0
      if (this.#lostAt === undefined) return
      logger.info('store regained', { kind, lostMs: Math.round(this.readLostMs(clock.readTime())) })
      this.#lostAt = undefined
      this.regainedAt = clock.readTime()
      return
    }
    this.#failures++
    if (this.#lostAt === undefined) logger.warn('store lost', { kind, ...failure })
    this.#lostAt ??= clock.readTime()
  }

  #findRetryMs (failure: StoreFailure): number {
    if (failure.type === 'history-gone') return 0
    return Math.min(MAXIMUM_RETRY_MS, MINIMUM_RETRY_MS * 2 ** Math.min(10, this.#failures - 1))
  }
}

async function pause (durationMs: number): Promise<void> {
  if (durationMs > 0) await new Promise((resolve) => setTimeout(resolve, durationMs))
}
