import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { hostRecordSchema, type HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import { ObjectWatcher } from './object-watcher.js'
import type { RelayChoice } from './relay-choice.js'

interface CreateOptions {
  store: ObjectStore
  self: HostRecord
  relays: RelayChoice
  clock: Clock
  logger: Logger
  handleHosts: (hosts: readonly HostRecord[]) => void
}

const KIND = 'tanagerusher-hosts'
/** Hosts come and go seldom, and a host that is gone is found out by its link. */
const WATCH_WAIT_MS = 5000
const RETRY_MS = 300
const REGISTER_TRIES = 100

/** Writes this host's record at the start, removes it at the end, and keeps the records of all hosts. */
export class HostsTask {
  readonly #options: CreateOptions
  readonly watcher: ObjectWatcher
  readonly #records = new Map<string, { record: HostRecord, revision: number }>()
  #isLeaving = false

  private constructor (options: CreateOptions) {
    const { store, relays, clock, logger, self } = options
    this.#options = options
    this.#records.set(self.host, { record: self, revision: 0 })
    this.watcher = ObjectWatcher.create({
      store,
      kind: KIND,
      waitMs: WATCH_WAIT_MS,
      relays,
      clock,
      logger,
      events: { handleChanged: (changed, removed) => { this.#handleChanged(changed, removed) } }
    })
  }

  static create (options: CreateOptions): HostsTask {
    return new HostsTask(options)
  }

  get hosts (): HostRecord[] { return [...this.#records.values()].map(({ record }) => record) }

  async start (): Promise<void> {
    void this.#register()
    await this.watcher.run()
  }

  /** Removes the record, so that other hosts choose other owners. */
  async leave (): Promise<void> {
    this.#isLeaving = true
    const { store, self, logger } = this.#options
    const revision = this.#records.get(self.host)?.revision
    if (revision === undefined || revision === 0) return
    const answer = await store.remove(KIND, self.host, revision)
    logger.info('left the fleet', { outcome: answer.type })
  }

  close (): void {
    this.watcher.close()
  }

  async #register (): Promise<void> {
    const { store, self, logger } = this.#options
    for (let tries = 0; tries < REGISTER_TRIES && !this.#isLeaving; tries++) {
      const created = await store.create(KIND, self.host, self)
      const answer = created.type === 'conflict' ? await store.replace(KIND, self.host, self) : created
      if (answer.type === 'ok') {
        this.#records.set(self.host, { record: self, revision: answer.value.revision })
        logger.info('joined the fleet', { revision: answer.value.revision })
        return
      }
      logger.warn('record was not written', { ...answer })
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
    }
  }

  #handleChanged (changed: readonly StoreObject[], removed: readonly string[]): void {
    const { self } = this.#options
    for (const name of removed) {
      if (name !== self.host) this.#records.delete(name)
      else if (!this.#isLeaving) void this.#register()
    }
    for (const object of changed) this.#take(object)
    this.#options.handleHosts(this.hosts)
  }

  #take (object: StoreObject): void {
    const parsed = hostRecordSchema.safeParse(object.value)
    if (!parsed.success) {
      this.#options.logger.warn('host record cannot be read', { name: object.name })
      return
    }
    const { self } = this.#options
    const record = parsed.data.host === self.host ? self : parsed.data
    this.#records.set(object.name, { record, revision: object.revision })
  }
}
