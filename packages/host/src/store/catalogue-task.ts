import { CatalogueReplica } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { Logger } from 'winston'
import { ObjectWatcher } from './object-watcher.js'
import type { RelaySelector } from './relay-selector.js'
import type { StoreRetries } from './store-retries.js'

interface CreateOptions {
  store: ObjectStore
  /** Kind and name of the catalogue object in the store. */
  location: { kind: string, name: string }
  decode: (value: unknown, handleInvalid: (reason: string) => void) => Catalogue | undefined
  relays: RelaySelector
  retries: StoreRetries
  keyFreshnessMs: number
  clock: Clock
  logger: Logger
  handleApplied: (catalogue: Catalogue) => void
}

/** Short, so that watches without changes confirm the copy often enough. */
const WATCH_WAIT_MS = 1000
/**
 * Fraction of `keyFreshnessMs` after which the readiness check fails, so that the load balancer sends callers elsewhere before they
 * are refused.
 */
const READY_AGE_FRACTION = 0.6

/** Keeps the catalogue up to date and confirmed. */
export class CatalogueTask {
  readonly replica: CatalogueReplica
  readonly watcher: ObjectWatcher
  readonly #options: CreateOptions
  /** Version of the catalogue that the store holds according to the copy. */
  #storedVersion = -1

  private constructor (options: CreateOptions) {
    const { store, location, keyFreshnessMs, relays, retries, clock, logger } = options
    this.#options = options
    this.replica = CatalogueReplica.create({ keyFreshnessMs })
    this.watcher = ObjectWatcher.create({
      store,
      kind: location.kind,
      waitMs: WATCH_WAIT_MS,
      relays,
      retries,
      clock,
      logger,
      events: {
        handleChanged: (changed, _removed, source) => {
          for (const { name, value } of changed) if (name === location.name) this.#apply(value, source)
        },
        handleConfirmed: (confirmedAt, requestedAt) => { this.#confirm(confirmedAt, requestedAt) }
      }
    })
  }

  static create (options: CreateOptions): CatalogueTask {
    return new CatalogueTask(options)
  }

  async start (): Promise<void> {
    await this.watcher.run()
  }

  /** Whether callers with keys can be served, with a margin before the confirmation is too old. */
  get isConfirmed (): boolean {
    const { clock, keyFreshnessMs } = this.#options
    return this.replica.catalogue !== undefined && this.replica.readConfirmationAgeMs(clock.readTime()) < keyFreshnessMs * READY_AGE_FRACTION
  }

  invalidateConfirmation (): void {
    this.replica.invalidateConfirmation(this.#options.clock.readTime())
    this.watcher.invalidateConfirmation()
  }

  close (): void {
    this.watcher.close()
  }

  #confirm (confirmedAt: number, requestedAt: number): void {
    // A restored store that lacks the catalogue in force may lack later ones too, so its responses prove nothing until it is written again.
    if (this.replica.catalogue === undefined || this.#storedVersion < this.replica.version) return
    this.replica.confirm(this.replica.version, confirmedAt, requestedAt)
  }

  #apply (value: unknown, source: string): void {
    const { logger, decode, handleApplied } = this.#options
    const catalogue = decode(value, (reason) => { logger.error('catalogue cannot be decoded', { source, reason }) })
    if (catalogue === undefined) return
    this.#storedVersion = catalogue.version
    const { version } = this.replica
    if (!this.replica.apply(catalogue)) {
      if (catalogue.version < version) logger.warn('store holds an older catalogue than the one in force and does not confirm it', { source, version: catalogue.version, inForce: version })
      return
    }
    logger.info('catalogue applied', { source, version: catalogue.version, entries: catalogue.entries.size, organisations: catalogue.organisations.size })
    handleApplied(catalogue)
  }
}
