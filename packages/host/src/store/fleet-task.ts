import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { fleetObjects } from '@tanagerusher/coordination/membership/fleet-objects'
import { parseFleetObjects } from '@tanagerusher/coordination/membership/parse-fleet-objects'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import { hostRecordSchema, type HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import { delay } from '../program/delay.js'
import { ObjectWatcher } from './object-watcher.js'
import type { RelaySelector } from './relay-selector.js'
import type { StoreRetries } from './store-retries.js'
import { UnusableEntries } from './unusable-entries.js'

interface CreateOptions {
  store: ObjectStore
  self: HostRecord
  relays: RelaySelector
  retries: StoreRetries
  clock: Clock
  logger: Logger
  /** Longest wait of one watch in ms. Primary leases that expire need confirmations well within their duration. */
  watchMs: number
  /** Receives the hosts that own database connections and share rate limits. */
  handleHosts: (hosts: readonly HostRecord[]) => void
  handleClaim: (group: string, claim: PromotionClaim, revision: number) => void
  /** All claims that existed at `confirmedAt` have been applied, and this host's record was in the store at that time. */
  handleConfirmed: (confirmedAt: number, requestedAt: number) => void
}

const RETRY_DELAY_MS = 300
const MAXIMUM_REGISTER_ATTEMPTS = 100

/**
 * Writes this host's record to the store at startup, marks it when the host leaves and removes it at the end of the shutdown.
 * Follows the records of all hosts and the promotion claims of all groups.
 */
export class FleetTask {
  readonly #options: CreateOptions
  readonly watcher: ObjectWatcher
  readonly unusable: UnusableEntries
  readonly #records = new Map<string, { record: HostRecord, revision: number }>()
  /** Time at which the write of this host's record succeeded; undefined while the record may be missing. */
  #registeredAt: number | undefined
  #isLeaving = false
  #isRegistering = false

  private constructor (options: CreateOptions) {
    const { store, relays, retries, clock, logger, self, watchMs } = options
    this.#options = options
    this.#records.set(self.host, { record: self, revision: 0 })
    this.unusable = UnusableEntries.create({ kind: fleetObjects.kind, logger })
    this.watcher = ObjectWatcher.create({
      store,
      kind: fleetObjects.kind,
      waitMs: watchMs,
      relays,
      retries,
      clock,
      logger,
      events: {
        handleChanged: (changed, removed) => { this.#handleChanged(changed, removed) },
        handleConfirmed: (confirmedAt, requestedAt) => { if (this.#registeredAt !== undefined && confirmedAt >= this.#registeredAt) options.handleConfirmed(confirmedAt, requestedAt) },
        handleRestored: () => { this.#handleRestored() }
      }
    })
  }

  static create (options: CreateOptions): FleetTask {
    return new FleetTask(options)
  }

  async start (): Promise<void> {
    // Confirmations count only once the record is written, so the first list follows it. The wait is short, since without a store it
    // does not help.
    await Promise.race([this.#register(), delay(RETRY_DELAY_MS)])
    await this.watcher.run()
  }

  /** Marks the record as leaving, so that other hosts choose other owners. */
  async leave (): Promise<void> {
    this.#isLeaving = true
    const { store, self, logger } = this.#options
    const result = await store.replace(fleetObjects.kind, fleetObjects.formatHostName(self.host), { ...self, isLeaving: true })
    if (result.type === 'ok') this.#records.set(self.host, { record: self, revision: result.value.revision })
    logger.info('left the fleet', { outcome: result.type })
  }

  /** Removes the record after the last statement. */
  async remove (): Promise<void> {
    const { store, self, logger } = this.#options
    const revision = this.#records.get(self.host)?.revision
    if (revision === undefined || revision === 0) return
    const result = await store.remove(fleetObjects.kind, fleetObjects.formatHostName(self.host), revision)
    logger.info('host record removed', { outcome: result.type })
  }

  close (): void {
    this.watcher.close()
  }

  async #register (): Promise<void> {
    if (this.#isRegistering) return
    this.#isRegistering = true
    this.#registeredAt = undefined
    await this.#writeRecord()
    this.#isRegistering = false
  }

  async #writeRecord (): Promise<void> {
    const { store, self, clock, logger } = this.#options
    const name = fleetObjects.formatHostName(self.host)
    for (let tries = 0; tries < MAXIMUM_REGISTER_ATTEMPTS && !this.#isLeaving; tries++) {
      const created = await store.create(fleetObjects.kind, name, self)
      const result = created.type === 'conflict' ? await store.replace(fleetObjects.kind, name, self) : created
      // A write from before a restore of the store is lost.
      if (result.type === 'ok' && orderedRevision.readEra(result.value.revision) >= this.watcher.era) {
        this.#records.set(self.host, { record: self, revision: result.value.revision })
        this.#registeredAt = clock.readTime()
        logger.info('joined the fleet', { revision: result.value.revision })
        return
      }
      logger.warn('host record was not written', { ...result })
      await delay(RETRY_DELAY_MS)
    }
  }

  #handleChanged (changed: readonly StoreObject[], removed: readonly string[]): void {
    const { self, handleHosts, handleClaim } = this.#options
    for (const name of removed) {
      this.unusable.remove(name)
      const host = fleetObjects.parseHostName(name)
      if (host === undefined) continue
      if (host !== self.host) this.#records.delete(host)
      else if (!this.#isLeaving) void this.#register()
    }
    const { hosts, claims, unreadable } = parseFleetObjects(changed)
    for (const { name } of changed) this.unusable.remove(name)
    for (const { name, revision, reason } of unreadable) this.unusable.record(name, revision, reason)
    for (const { record, revision } of hosts) this.#applyRecord(record, revision)
    for (const { group, claim, revision } of claims) handleClaim(group, claim, revision)
    handleHosts([...this.#records.values()].map(({ record }) => record).filter(({ isLeaving }) => isLeaving !== true))
  }

  /** Writes this host's record again if the restored store lacks it or holds an earlier one. */
  #handleRestored (): void {
    const { self, logger } = this.#options
    const stored = hostRecordSchema.safeParse(this.watcher.findObject(fleetObjects.formatHostName(self.host))?.value).data
    const isCurrent = stored?.incarnation === self.incarnation && (stored.isLeaving === true) === this.#isLeaving
    if (isCurrent) return
    logger.warn('the store has lost the record of this host', { isLeaving: this.#isLeaving })
    if (!this.#isLeaving) void this.#register()
    else if (stored !== undefined) void this.leave()
  }

  #applyRecord (record: HostRecord, revision: number): void {
    const { self } = this.#options
    if (record.host === self.host && record.incarnation !== self.incarnation) return
    this.#records.set(record.host, { record: record.host === self.host ? self : record, revision })
  }
}
