import { CatalogueReplica } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { Logger } from 'winston'
import { ObjectWatcher } from './object-watcher.js'
import type { RelayChoice } from './relay-choice.js'

interface CreateOptions {
  store: ObjectStore
  /** Where the store keeps the catalogue. */
  location: { kind: string, name: string }
  decode: (value: unknown, handleInvalid: (reason: string) => void) => Catalogue | undefined
  relays: RelayChoice
  keyFreshnessMs: number
  clock: Clock
  logger: Logger
  handleApplied: (catalogue: Catalogue) => void
}

/** Short, so that an answer without news proves often enough that none exist. */
const WATCH_WAIT_MS = 1000
/** Part of the freshness limit after which the balancer is told to send callers elsewhere, before they are refused. */
const READY_PART = 0.6

/** Keeps the catalogue current and proven. */
export class CatalogueTask {
  readonly replica: CatalogueReplica
  readonly watcher: ObjectWatcher
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    const { store, location, keyFreshnessMs, relays, clock, logger } = options
    this.#options = options
    this.replica = CatalogueReplica.create({ keyFreshnessMs })
    this.watcher = ObjectWatcher.create({
      store,
      kind: location.kind,
      waitMs: WATCH_WAIT_MS,
      relays,
      clock,
      logger,
      events: {
        handleChanged: (changed, _removed, source) => {
          for (const { name, value } of changed) if (name === location.name) this.#apply(value, source)
        },
        handleConfirmed: (provenAt, askedAt) => { if (this.replica.catalogue !== undefined) this.replica.confirm(this.replica.version, provenAt, askedAt) }
      }
    })
  }

  static create (options: CreateOptions): CatalogueTask {
    return new CatalogueTask(options)
  }

  async start (): Promise<void> {
    await this.watcher.run()
  }

  /** Whether callers with keys can be served, now and a little longer. */
  get isConfirmed (): boolean {
    const { clock, keyFreshnessMs } = this.#options
    return this.replica.catalogue !== undefined && this.replica.readProofAge(clock.readTime()) < keyFreshnessMs * READY_PART
  }

  invalidateProof (): void {
    this.replica.invalidateProof(this.#options.clock.readTime())
    this.watcher.invalidateProof()
  }

  close (): void {
    this.watcher.close()
  }

  #apply (value: unknown, source: string): void {
    const { logger, decode, handleApplied } = this.#options
    const catalogue = decode(value, (reason) => { logger.error('catalogue cannot be read', { source, reason }) })
    if (catalogue === undefined || !this.replica.apply(catalogue)) return
    logger.info('catalogue applied', { source, version: catalogue.version, entries: catalogue.entries.size, organisations: catalogue.organisations.size })
    handleApplied(catalogue)
  }
}
