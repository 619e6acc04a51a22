import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore, StoreFailure } from '@tanagerusher/coordination/common/object-store'
import { computeStoreRetry } from '@tanagerusher/coordination/configuration/compute-store-retry'
import { RelayedObjects } from '@tanagerusher/coordination/configuration/relayed-objects'
import type { RelayedState } from '@tanagerusher/coordination/configuration/relayed-state'
import { objectsFetch } from '@tanagerusher/protocol/peer/objects-fetch'
import type { Logger } from 'winston'
import type { z } from 'zod'
import type { PeerLink } from '../peer/peer-link.js'
import type { RelayChoice } from './relay-choice.js'
import type { WatchEvents } from './watch-events.js'
import { pause } from '../program/pause.js'

interface CreateOptions {
  store: ObjectStore
  kind: string
  /** Longest wait of one watch call. */
  waitMs: number
  relays: RelayChoice
  clock: Clock
  logger: Logger
  events: WatchEvents
}

const UNWANTED_PAUSE_MS = 100
/** A watch that keeps answering at once must not turn into a loop of calls. */
const MINIMUM_PERIOD_MS = 50
/**
 * A watch proves the time before it was sent, so a relay's proof is up to two watches old, and a ping and its way older at the
 * others. A host whose proof is older than that calls the store itself.
 */
const WATCHES_IN_PROOF = 2
const RELAYED_PROOF_MS = 700
/** A large configuration for every host takes a relay's link some seconds; a relay that falls silent is found by its pings. */
const FETCH_TIMEOUT_MS = 4000

/**
 * Keeps one kind of objects current. A relay calls the store: a list, then watches, a list again when the history is gone. Other
 * hosts list once and then take what the relays know, and call the store only when nobody proves their copy any more.
 */
export class ObjectWatcher {
  readonly #options: CreateOptions
  readonly #copy = RelayedObjects.create()
  #isListDue = true
  /** Lists that were taken. */
  #lists = 0
  #failures = 0
  #isClosed = false
  #isFetching = false
  #isRefreshing = false
  #lostAt: number | undefined
  #returnedAt: number | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ObjectWatcher {
    return new ObjectWatcher(options)
  }

  get kind (): string { return this.#options.kind }

  /** Time since the store has not answered; 0 while it does. */
  readLostMs (now: number): number {
    return this.#lostAt === undefined ? 0 : now - this.#lostAt
  }

  /** When the store was last regained, here or at a host whose news is used; now while it is lost. */
  findStoreReturn (): number | undefined {
    return this.#lostAt === undefined ? this.#returnedAt : this.#options.clock.readTime()
  }

  describe (): RelayedState {
    return this.#copy.describe(this.findStoreReturn(), this.#options.clock.readTime())
  }

  listChanges (since: number): z.infer<typeof objectsFetch.result> {
    return this.#copy.listChanges(since)
  }

  invalidateProof (): void {
    this.#copy.invalidateProof(this.#options.clock.readTime())
    // The answer of the watch under way proves nothing any more, and the other hosts wait for this one.
    if (this.#options.relays.isSelf && !this.#isListDue && !this.#isRefreshing) void this.#refresh()
  }

  /** What another host said of its copy, in the answer to a ping that was sent at `sentAt`. */
  handlePeerState (link: PeerLink, state: RelayedState, sentAt: number): void {
    const returnedAt = sentAt - state.returnAgeMs
    if (returnedAt > (this.#returnedAt ?? 0)) this.#returnedAt = returnedAt
    const news = this.#copy.compare(state, sentAt)
    if (news.type === 'confirmed') this.#options.events.handleConfirmed?.(sentAt - state.ageMs, sentAt)
    else if (news.type === 'newer' && !this.#isListDue) void this.#fetch(link)
  }

  async run (): Promise<void> {
    while (!this.#isClosed) {
      if (!this.#isStoreWanted()) {
        await pause(UNWANTED_PAUSE_MS)
        continue
      }
      const startedAt = this.#options.clock.readTime()
      const failure = this.#isListDue ? await this.#list() : await this.#watch(this.#copy.revision)
      if (this.#isClosed) return
      this.#recordOutcome(failure)
      const elapsedMs = this.#options.clock.readTime() - startedAt
      await pause(failure === undefined ? Math.max(0, MINIMUM_PERIOD_MS - elapsedMs) : this.#findRetryMs(failure))
    }
  }

  close (): void {
    this.#isClosed = true
  }

  #isStoreWanted (): boolean {
    const { relays, waitMs, clock } = this.#options
    return this.#isListDue || relays.isSelf || this.#copy.readProofAge(clock.readTime()) > WATCHES_IN_PROOF * waitMs + RELAYED_PROOF_MS
  }

  async #list (): Promise<StoreFailure | undefined> {
    const { store, kind, clock, events } = this.#options
    const sentAt = clock.readTime()
    const answer = await store.list(kind)
    if (answer.type !== 'ok') return answer
    if (this.#isClosed) return undefined
    this.#isListDue = false
    this.#lists++
    const { objects, revision } = answer.value
    events.handleChanged(objects, this.#copy.applyList(objects, revision), 'store')
    this.#confirm(sentAt)
    return undefined
  }

  async #refresh (): Promise<void> {
    this.#isRefreshing = true
    const failure = await this.#list()
    this.#isRefreshing = false
    if (failure !== undefined) this.#options.logger.info('copy was not refreshed', { kind: this.kind, ...failure })
  }

  async #watch (revision: number): Promise<StoreFailure | undefined> {
    const { store, kind, waitMs, clock, events } = this.#options
    const sentAt = clock.readTime()
    const lists = this.#lists
    const answer = await store.watch(kind, revision, waitMs)
    if (answer.type !== 'ok') return answer
    if (this.#isClosed) return undefined
    // A list has come in between; the next watch goes on from it, and these changes may be older.
    if (this.#lists !== lists) return undefined
    const { changes } = answer.value
    this.#copy.applyChanges(changes, answer.value.revision)
    if (changes.length > 0) {
      const last = new Map(changes.map((change) => [change.object.name, change]))
      const kept = [...last.values()].filter(({ isRemoved }) => !isRemoved).map(({ object }) => object)
      events.handleChanged(kept, [...last.values()].filter(({ isRemoved }) => isRemoved).map(({ object }) => object.name), 'store')
    }
    this.#confirm(sentAt)
    return undefined
  }

  async #fetch (link: PeerLink): Promise<void> {
    if (this.#isFetching) return
    this.#isFetching = true
    const { kind, events, logger } = this.#options
    try {
      const delta = await link.request(objectsFetch, { kind, since: this.#copy.revision }, FETCH_TIMEOUT_MS)
      const applied = this.#copy.applyDelta(delta)
      if (applied !== undefined && !this.#isClosed) events.handleChanged(delta.changed, applied.removed, link.record.host)
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
      logger.warn('history of the store is gone', { kind })
      return
    }
    if (failure === undefined) {
      this.#failures = 0
      if (this.#lostAt === undefined) return
      logger.info('store regained', { kind, lostMs: Math.round(this.readLostMs(clock.readTime())) })
      this.#lostAt = undefined
      this.#returnedAt = clock.readTime()
      return
    }
    this.#failures++
    if (this.#lostAt === undefined) logger.warn('store lost', { kind, ...failure })
    this.#lostAt ??= clock.readTime()
  }

  #findRetryMs (failure: StoreFailure): number {
    if (failure.type === 'history-gone') return 0
    const { isSelf, hosts } = this.#options.relays
    // Before the first list there is nothing to serve with, so every host asks at the relays' pace.
    return computeStoreRetry({ failures: this.#failures, isRelay: isSelf || this.#isListDue, hosts })
  }
}
