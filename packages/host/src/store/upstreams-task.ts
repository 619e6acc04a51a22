import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { UpstreamDirectory } from '@tanagerusher/coordination/membership/upstream-directory'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import { ObjectWatcher } from './object-watcher.js'
import type { RelaySelector } from './relay-selector.js'
import type { StoreRetries } from './store-retries.js'
import { UnusableEntries } from './unusable-entries.js'

interface CreateOptions {
  store: ObjectStore
  /** Kind under which databases register. */
  kind: string
  /** Parses the value of an entry into what `decode` reads. */
  parseEntry: (value: unknown) => unknown
  /** Calls `handleInvalid` with the reason when the entry describes no usable database. */
  decode: (object: StoreObject, handleInvalid: (reason: string) => void) => UpstreamRecord | undefined
  relays: RelaySelector
  retries: StoreRetries
  clock: Clock
  logger: Logger
  /** Called for each entry that was read, also when it was read before. */
  handleEntry: (record: UpstreamRecord) => void
  handleRemoved: (id: string) => void
}

/** A database that leaves must be known well within the drain timeout, even when one watch gets no response. */
const WATCH_WAIT_MS = 2500

/** Keeps the directory of databases up to date. */
export class UpstreamsTask {
  readonly directory = UpstreamDirectory.create()
  readonly #options: CreateOptions
  readonly watcher: ObjectWatcher
  readonly unusable: UnusableEntries

  private constructor (options: CreateOptions) {
    const { store, kind, parseEntry, relays, retries, clock, logger } = options
    this.#options = options
    this.unusable = UnusableEntries.create({ kind, logger })
    this.watcher = ObjectWatcher.create({
      store,
      kind,
      parseValue: parseEntry,
      waitMs: WATCH_WAIT_MS,
      relays,
      retries,
      clock,
      logger,
      events: { handleChanged: (changed, removed, source) => { this.#handleChanged(changed, removed, source) } }
    })
  }

  static create (options: CreateOptions): UpstreamsTask {
    return new UpstreamsTask(options)
  }

  async start (): Promise<void> {
    await this.watcher.run()
  }

  close (): void {
    this.watcher.close()
  }

  #handleChanged (changed: readonly StoreObject[], removed: readonly string[], source: string): void {
    const { logger, clock } = this.#options
    for (const name of removed) {
      this.unusable.remove(name)
      this.#options.handleRemoved(name)
      this.directory.remove(name, this.watcher.findRecoveryTime(), clock.readTime())
      logger.info('directory changed', { database: name, isRemoved: true, source })
    }
    for (const object of changed) {
      const record = this.#options.decode(object, (reason) => { this.unusable.record(object.name, object.revision, reason) })
      if (record === undefined) {
        this.directory.remove(object.name, undefined, clock.readTime())
        continue
      }
      this.unusable.remove(object.name)
      this.#options.handleEntry(record)
      this.directory.applyRecord(record, clock.readTime())
      logger.info('directory changed', { database: record.id, revision: record.revision, group: record.group, isLeaving: record.isLeaving, claimsPrimary: record.claimsPrimary, source })
    }
  }
}
