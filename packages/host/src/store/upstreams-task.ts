import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { UpstreamDirectory } from '@tanagerusher/coordination/membership/upstream-directory'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import { ObjectWatcher } from './object-watcher.js'

interface CreateOptions {
  store: ObjectStore
  /** Kind under which databases register. */
  kind: string
  decode: (object: StoreObject) => UpstreamRecord | undefined
  clock: Clock
  logger: Logger
  handleChanged: () => void
}

/** A database that leaves must be known well inside the draining limit, also when a watch falls silent. */
const WATCH_WAIT_MS = 2500

/** Keeps the directory of databases current. */
export class UpstreamsTask {
  readonly directory = UpstreamDirectory.create()
  readonly #options: CreateOptions
  readonly #watcher: ObjectWatcher

  private constructor (options: CreateOptions) {
    const { store, kind, clock, logger } = options
    this.#options = options
    this.#watcher = ObjectWatcher.create({
      store,
      kind,
      waitMs: WATCH_WAIT_MS,
      clock,
      logger,
      events: {
        handleList: (objects) => { this.#handleList(objects) },
        handleChange: (object, isRemoved) => { this.#handleChange(object, isRemoved) },
        handleConfirmed: () => {}
      }
    })
  }

  static create (options: CreateOptions): UpstreamsTask {
    return new UpstreamsTask(options)
  }

  async start (): Promise<void> {
    await this.#watcher.run()
  }

  close (): void {
    this.#watcher.close()
  }

  #handleList (objects: readonly StoreObject[]): void {
    const records = objects.flatMap((object) => this.#decode(object) ?? [])
    this.directory.applyList(records, this.#findReturn(), this.#options.clock.readTime())
    this.#options.handleChanged()
  }

  #handleChange (object: StoreObject, isRemoved: boolean): void {
    const { logger, clock, handleChanged } = this.#options
    const record = isRemoved ? undefined : this.#decode(object)
    if (record === undefined) this.directory.remove(object.name, this.#findReturn(), clock.readTime())
    else this.directory.applyRecord(record)
    logger.info('directory changed', { database: object.name, revision: object.revision, isRemoved, group: record?.group, isLeaving: record?.isLeaving, claimsPrimary: record?.claimsPrimary })
    handleChanged()
  }

  /** While the store cannot be reached, its return lies ahead. */
  #findReturn (): number | undefined {
    const now = this.#options.clock.readTime()
    return this.#watcher.readLostMs(now) > 0 ? now : this.#watcher.regainedAt
  }

  #decode (object: StoreObject): UpstreamRecord | undefined {
    const record = this.#options.decode(object)
    if (record === undefined) this.#options.logger.warn('directory entry cannot be read', { database: object.name, revision: object.revision })
    return record
  }
}
