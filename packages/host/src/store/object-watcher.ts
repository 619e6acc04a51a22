import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore, StoreFailure } from '@tanagerusher/coordination/common/object-store'
import { computeStoreRetryDelay } from '@tanagerusher/coordination/configuration/compute-store-retry-delay'
import { RelayedObjects } from '@tanagerusher/coordination/configuration/relayed-objects'
import type { RelayedState } from '@tanagerusher/coordination/configuration/relayed-state'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { objectsFetch } from '@tanagerusher/protocol/peer/objects-fetch'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { Logger } from 'winston'
import type { z } from 'zod'
import type { PeerLink } from '../peer/peer-link.js'
import type { RelaySelector } from './relay-selector.js'
import type { StoreRetries } from './store-retries.js'
import type { WatchEvents } from './watch-events.js'
import { delay } from '../program/delay.js'

interface CreateOptions {
  store: ObjectStore
  kind: string
  /** Parses a value into what its readers need. Only that is kept and sent to other hosts, which parse it again. */
  parseValue?: (value: unknown) => unknown
  /** Longest wait of one watch call. */
  waitMs: number
  relays: RelaySelector
  /** Shared by the watchers of a host. */
  retries: StoreRetries
  clock: Clock
  logger: Logger
  events: WatchEvents
}

const STANDBY_POLL_INTERVAL_MS = 100
/** Prevents a loop of calls when every watch returns immediately. */
const MINIMUM_CALL_PERIOD_MS = 50
/**
 * A watch confirms the copy for the time at which it was sent, so the last confirmation of a relay is up to two watches old.
 * It reaches the other hosts one ping interval and its transfer later. A host whose last confirmation is older than the sum
 * calls the store itself.
 */
const WATCHES_PER_CONFIRMATION = 2
const RELAY_DELAY_MS = 700
/** A relay's link needs several seconds to carry a large configuration to every host. Pings detect an unresponsive relay earlier. */
const FETCH_TIMEOUT_MS = 4000

/**
 * Keeps a copy of one kind of objects up to date. A relay lists the objects of the store, then watches them, and lists them again
 * when the store has dropped the history that a watch needs. Other hosts list once and then fetch changes from the relays; they
 * call the store only when no relay has confirmed their copy recently.
 */
export class ObjectWatcher {
  readonly #options: CreateOptions
  readonly #copy = RelayedObjects.create()
  /** Revision and digest of the last copy of another host that differed without being newer, to log each only once. */
  #loggedDifference = ''
  #isListDue = true
  #appliedLists = 0
  /** Number of lists and of other hosts' changes that were applied. */
  #appliedUpdates = 0
  #historyGaps = 0
  #failures = 0
  #isClosed = false
  #isFetching = false
  #isRefreshing = false
  #outageStartedAt: number | undefined
  #recoveredAt: number | undefined
  #restoredAt: number | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ObjectWatcher {
    return new ObjectWatcher(options)
  }

  get kind (): string { return this.#options.kind }
  /** Number of lists that were applied. */
  get appliedLists (): number { return this.#appliedLists }
  /** Number of watches that failed because the store did not have the history for them. */
  get historyGaps (): number { return this.#historyGaps }
  /** Revision of the store to which the copy corresponds; negative before the first list. */
  get copyRevision (): number { return this.#copy.revision }
  get era (): number { return orderedRevision.encode(this.#copy.revision).era }
  /** The store's own counter, which goes back when a new era begins. */
  get revision (): number { return orderedRevision.encode(this.#copy.revision).revision }

  readConfirmationAgeMs (now: number): number { return this.#copy.readConfirmationAgeMs(now) }

  /** Time in ms since the store became unreachable; 0 while it is reachable. */
  readOutageMs (now: number): number {
    return this.#outageStartedAt === undefined ? 0 : now - this.#outageStartedAt
  }

  /** Time at which the store last became reachable again, here or at a host whose copy is followed; now while it is unreachable. */
  findRecoveryTime (): number | undefined {
    return this.#outageStartedAt === undefined ? this.#recoveredAt : this.#options.clock.readTime()
  }

  findObject (name: string): StoreObject | undefined { return this.#copy.find(name) }

  /**
   * Time at which this host noticed that the era of `revision` began by a restore of the store: now when the copy is still of an earlier
   * era, undefined when the host has seen no restore.
   */
  findRestoreTime (revision: number): number | undefined {
    return orderedRevision.readEra(revision) > this.era ? this.#options.clock.readTime() : this.#restoredAt
  }

  describe (): RelayedState {
    return this.#copy.describeState(this.findRecoveryTime(), this.#options.clock.readTime())
  }

  listChanges (since: number): z.infer<typeof objectsFetch.result> {
    return this.#copy.listChanges(since)
  }

  invalidateConfirmation (): void {
    this.#copy.invalidateConfirmation(this.#options.clock.readTime())
    // The watch in flight cannot confirm the copy any more, and the other hosts depend on the confirmations of a relay.
    if (this.#options.relays.isSelfRelay && !this.#isListDue && !this.#isRefreshing) void this.#refresh()
  }

  /** Handles the state of another host's copy, from the response to a ping that was sent at `sentAt`. */
  handlePeerState (link: PeerLink, state: RelayedState, sentAt: number): void {
    const recoveredAt = sentAt - state.returnAgeMs
    if (recoveredAt > (this.#recoveredAt ?? 0)) this.#recoveredAt = recoveredAt
    const comparison = this.#copy.compare(state, sentAt)
    if (comparison.type === 'confirmed') this.#options.events.handleConfirmed?.(sentAt - state.ageMs, sentAt)
    else if (comparison.type === 'newer' && !this.#isListDue) void this.#fetch(link)
    else if (comparison.type === 'nothing') this.#recordDifference(link, state)
  }

  async run (): Promise<void> {
    while (!this.#isClosed) {
      if (!this.#isStoreCallNeeded()) {
        this.#options.retries.end(this.kind, false)
        await delay(STANDBY_POLL_INTERVAL_MS)
        continue
      }
      const startedAt = this.#options.clock.readTime()
      const failure = await this.#runCall(async () => this.#isListDue ? await this.#list() : await this.#watch(this.#copy.revision))
      if (this.#isClosed) return
      this.#recordOutcome(failure)
      const elapsedMs = this.#options.clock.readTime() - startedAt
      if (failure === undefined || failure.type === 'history-gone') {
        this.#options.retries.end(this.kind, true)
        await delay(failure === undefined ? Math.max(0, MINIMUM_CALL_PERIOD_MS - elapsedMs) : 0)
      } else await this.#options.retries.wait(this.kind, this.#computeRetryDelay())
    }
  }

  close (): void {
    this.#isClosed = true
  }

  #parse (object: StoreObject): StoreObject {
    const { parseValue } = this.#options
    return parseValue === undefined ? object : { ...object, value: parseValue(object.value) }
  }

  /** Runs one call of the store and the handling of its result. An exception is a failed call: it must neither end the process nor stop the watcher. */
  async #runCall (call: () => Promise<StoreFailure | undefined>): Promise<StoreFailure | undefined> {
    try {
      return await call()
    } catch (error) {
      this.#options.logger.error('copy was not updated', { kind: this.kind, reason: String((error as Error).message) })
      return { type: 'rejected', reason: String((error as Error).message) }
    }
  }

  #isStoreCallNeeded (): boolean {
    const { relays, waitMs, clock } = this.#options
    return this.#isListDue || relays.isSelfRelay || this.#copy.readConfirmationAgeMs(clock.readTime()) > WATCHES_PER_CONFIRMATION * waitMs + RELAY_DELAY_MS
  }

  async #list (): Promise<StoreFailure | undefined> {
    const { store, kind, clock, logger } = this.#options
    const sentAt = clock.readTime()
    const result = await store.list(kind)
    if (result.type !== 'ok') return result
    if (this.#isClosed) return undefined
    this.#isListDue = false
    this.#appliedLists++
    const { revision } = result.value
    const objects = result.value.objects.map((object) => this.#parse(object))
    const previousRevision = this.#copy.revision
    const removed = this.#copy.applyList(objects, revision)
    logger.info('copy listed', { kind, ...orderedRevision.encode(revision), previousRevision: orderedRevision.encode(previousRevision).revision, objects: objects.length, removed: removed?.length })
    if (removed !== undefined) this.#handleUpdate(objects, removed, 'store', previousRevision)
    if (orderedRevision.readEra(revision) === orderedRevision.readEra(this.#copy.revision)) this.#confirm(sentAt)
    return undefined
  }

  async #refresh (): Promise<void> {
    this.#isRefreshing = true
    const failure = await this.#runCall(async () => await this.#list())
    this.#isRefreshing = false
    if (failure !== undefined) this.#options.logger.info('copy was not refreshed', { kind: this.kind, ...failure })
  }

  async #watch (revision: number): Promise<StoreFailure | undefined> {
    const { store, kind, clock, events } = this.#options
    // After a failure the first watch does not wait for changes, because its response also confirms the copy.
    const waitMs = this.#failures > 0 ? 0 : this.#options.waitMs
    const sentAt = clock.readTime()
    const appliedUpdates = this.#appliedUpdates
    const result = await store.watch(kind, revision, waitMs)
    if (result.type !== 'ok') return result
    if (this.#isClosed) return undefined
    // A list or another host's changes were applied during the watch. These changes may be older; the next watch starts at the copy's revision.
    if (this.#appliedUpdates !== appliedUpdates) return undefined
    const changes = result.value.changes.map(({ object, isRemoved }) => ({ object: this.#parse(object), isRemoved }))
    this.#copy.applyChanges(changes, result.value.revision)
    if (changes.length > 0) {
      const latestByName = new Map(changes.map((change) => [change.object.name, change]))
      const changedObjects = [...latestByName.values()].filter(({ isRemoved }) => !isRemoved).map(({ object }) => object)
      events.handleChanged(changedObjects, [...latestByName.values()].filter(({ isRemoved }) => isRemoved).map(({ object }) => object.name), 'store')
    }
    this.#confirm(sentAt)
    return undefined
  }

  async #fetch (link: PeerLink): Promise<void> {
    if (this.#isFetching) return
    this.#isFetching = true
    const { kind, logger } = this.#options
    try {
      const { era, revision: since } = orderedRevision.encode(this.#copy.revision)
      const delta = await link.request(objectsFetch, { kind, era, since }, FETCH_TIMEOUT_MS)
      const previousRevision = this.#copy.revision
      const applied = this.#copy.applyDelta({ ...delta, changed: delta.changed.map((object) => this.#parse(object)) })
      if (applied !== undefined && !this.#isClosed) this.#handleUpdate(applied.changed, applied.removed, link.record.host, previousRevision)
    } catch (error) {
      logger.warn('changes were not fetched', { kind, peer: link.record.host, reason: String((error as Error).message) })
    } finally {
      this.#isFetching = false
    }
  }

  #confirm (sentAt: number): void {
    this.#copy.confirm(sentAt, sentAt)
    this.#options.events.handleConfirmed?.(sentAt, sentAt)
  }

  #recordOutcome (failure: StoreFailure | undefined): void {
    const { logger, kind, clock } = this.#options
    if (failure?.type === 'history-gone') {
      this.#isListDue = true
      this.#historyGaps++
      logger.warn('store has dropped the history that the watch needs', { kind, era: this.era, revision: this.revision })
      return
    }
    if (failure === undefined) {
      this.#failures = 0
      if (this.#outageStartedAt === undefined) return
      logger.info('store regained', { kind, lostMs: Math.round(this.readOutageMs(clock.readTime())) })
      this.#outageStartedAt = undefined
      this.#recoveredAt = clock.readTime()
      return
    }
    this.#failures++
    if (this.#outageStartedAt === undefined) logger.warn('store lost', { kind, ...failure })
    this.#outageStartedAt ??= clock.readTime()
  }

  /** Handles a list or another host's changes after they were applied to the copy. */
  #handleUpdate (changed: readonly StoreObject[], removed: readonly string[], source: string, previousRevision: number): void {
    this.#appliedUpdates++
    const { logger, kind, clock, events } = this.#options
    const isRestored = previousRevision >= 0 && orderedRevision.readEra(previousRevision) < orderedRevision.readEra(this.#copy.revision)
    if (isRestored) {
      logger.warn('store was restored from a copy', { kind, source, era: this.era, revision: this.revision, previous: orderedRevision.encode(previousRevision) })
      this.#recoveredAt = clock.readTime()
      this.#restoredAt = this.#recoveredAt
    }
    events.handleChanged(changed, removed, source)
    if (isRestored) events.handleRestored?.()
  }

  /** Another host's copy can differ for a moment. If it keeps differing, one of the two misses changes. */
  #recordDifference (link: PeerLink, { era, revision, digest }: RelayedState): void {
    const difference = `${link.record.host} ${era} ${revision} ${digest} ${this.#copy.revision}`
    if (revision < 0 || difference === this.#loggedDifference) return
    this.#loggedDifference = difference
    this.#options.logger.info('copy of another host differs and is not newer', { kind: this.kind, peer: link.record.host, peerEra: era, peerRevision: revision, era: this.era, revision: this.revision })
  }

  #computeRetryDelay (): number {
    const { isSelfRelay, hostCount } = this.#options.relays
    // Before its first list a host cannot serve, so it retries as often as a relay.
    return computeStoreRetryDelay({ failures: this.#failures, isRelay: isSelfRelay || this.#isListDue, hosts: hostCount })
  }
}
