import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import { Evacuations, type EvacuationEvent } from '@tanagerusher/coordination/membership/evacuations'
import type { Logger } from 'winston'
import { ObjectWatcher } from './object-watcher.js'
import type { RelaySelector } from './relay-selector.js'
import type { StoreRetries } from './store-retries.js'

interface CreateOptions {
  store: ObjectStore
  kind: string
  evacuateMs: number
  relays: RelaySelector
  retries: StoreRetries
  clock: Clock
  logger: Logger
  /** Aborts the transactions that are open at databases of the data centre. Returns their number. */
  abortTransactions: (dataCentre: string) => number
  handleEnded: (dataCentre: string) => void
}

const EXPIRY_CHECK_INTERVAL_MS = 500

/** Follows the evacuations of data centres, and closes the databases of those whose time is over. */
export class EvacuationsTask {
  readonly evacuations: Evacuations
  readonly watcher: ObjectWatcher
  readonly #options: CreateOptions
  readonly #closeTimers = new Map<string, NodeJS.Timeout>()
  #expiryTimer: NodeJS.Timeout | undefined
  /** Era of the store at the last update; undefined before the first list. */
  #era: number | undefined

  private constructor (options: CreateOptions) {
    const { store, kind, evacuateMs, relays, retries, clock, logger } = options
    this.#options = options
    this.evacuations = Evacuations.create({ evacuateMs, startedAt: clock.readTime() })
    this.watcher = ObjectWatcher.create({
      store,
      kind,
      waitMs: evacuateMs / 2,
      relays,
      retries,
      clock,
      logger,
      events: { handleChanged: (changed, removed, source) => { this.#handleChanged(changed.map(({ name }) => name), removed, source) } }
    })
  }

  static create (options: CreateOptions): EvacuationsTask {
    return new EvacuationsTask(options)
  }

  async start (): Promise<void> {
    this.#expiryTimer = setInterval(() => { this.#handleEvents(this.evacuations.expire(this.#options.clock.readTime()), 'retention period') }, EXPIRY_CHECK_INTERVAL_MS)
    await this.watcher.run()
  }

  /** Describes the evacuation of a data centre in the text of a refusal. */
  describe (dataCentre: string): string {
    const ageMs = this.evacuations.findAgeMs(dataCentre, this.#options.clock.readTime())
    return ageMs === undefined ? 'the evacuated data centres are not known yet' : `its data centre ${dataCentre} is evacuated, learnt ${Math.round(ageMs)} ms ago`
  }

  /** Closes the databases immediately, since the time until they had to be closed may have passed during the suspension. */
  handleSuspension (): void {
    for (const dataCentre of this.evacuations.closeAll(this.#options.clock.readTime())) {
      clearTimeout(this.#closeTimers.get(dataCentre))
      this.#closeDatabases(dataCentre, 'suspension')
    }
  }

  close (): void {
    this.watcher.close()
    clearInterval(this.#expiryTimer)
    for (const timer of this.#closeTimers.values()) clearTimeout(timer)
  }

  #handleChanged (changed: readonly string[], removed: readonly string[], source: string): void {
    const now = this.#options.clock.readTime()
    const { era } = this.watcher
    const isRestored = this.#era !== undefined && era > this.#era
    this.#era = era
    this.#handleEvents(this.evacuations.apply({ changed, removed, isRestored, confirmationAgeMs: this.watcher.readConfirmationAgeMs(now) }, now), source)
  }

  #handleEvents (events: readonly EvacuationEvent[], source: string): void {
    const { logger, handleEnded } = this.#options
    for (const event of events) {
      const { dataCentre } = event
      if (event.type === 'learnt') {
        logger.info('data centre is evacuated', { dataCentre, closesInMs: event.closesInMs, source })
        this.#closeTimers.set(dataCentre, setTimeout(() => { this.#closeDatabases(dataCentre, source) }, event.closesInMs))
      } else if (event.type === 'retained') {
        logger.warn('the restored store lacks an evacuation, which stays in force', { dataCentre, ageMs: Math.round(event.ageMs), remainingMs: event.remainingMs, source })
      } else {
        clearTimeout(this.#closeTimers.get(dataCentre))
        this.#closeTimers.delete(dataCentre)
        logger.info('evacuation ended, databases of the data centre are restored', { dataCentre, ageMs: Math.round(event.ageMs), source })
        handleEnded(dataCentre)
      }
    }
  }

  /** A timer may fire slightly before its time. */
  #closeDatabases (dataCentre: string, source: string): void {
    const { clock, logger, abortTransactions } = this.#options
    const now = clock.readTime()
    if (!this.evacuations.isClosed(dataCentre, now)) {
      if (this.evacuations.isEvacuated(dataCentre)) this.#closeTimers.set(dataCentre, setTimeout(() => { this.#closeDatabases(dataCentre, source) }, 1))
      return
    }
    const aborted = abortTransactions(dataCentre)
    logger.info('databases of the evacuated data centre are closed', { dataCentre, ageMs: Math.round(this.evacuations.findAgeMs(dataCentre, now) ?? 0), abortedTransactions: aborted, source })
  }
}
