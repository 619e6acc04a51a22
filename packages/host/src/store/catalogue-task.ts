import { CatalogueReplica } from '@tanagerusher/coordination/catalogue/catalogue-replica'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import { catalogueFetch } from '@tanagerusher/protocol/peer/catalogue-fetch'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import type { PeerLink, PingAnswer } from '../peer/peer-link.js'
import type { PeerLinks } from '../peer/peer-links.js'
import { ObjectWatcher } from './object-watcher.js'

interface CreateOptions {
  store: ObjectStore
  /** Where the store keeps the catalogue. */
  location: { kind: string, name: string }
  decode: (value: unknown, handleInvalid: (reason: string) => void) => Catalogue | undefined
  self: string
  links: PeerLinks
  keyFreshnessMs: number
  clock: Clock
  logger: Logger
  handleApplied: (catalogue: Catalogue) => void
}

/** Short, so that an answer without news proves often enough that none exist. */
const WATCH_WAIT_MS = 1000
/** Hosts that always watch the store; the others hear from them. */
const RELAYS = 2
/** A host whose relays are silent for so long calls the store itself. */
const OWN_CALL_AFTER_MS = 1400
/** Part of the freshness limit after which the balancer is told to send callers elsewhere, before they are refused. */
const READY_PART = 0.6
const FETCH_TIMEOUT_MS = 1000
const TICK_MS = 500

/** Keeps the catalogue current and proven: from the store where this host is a relay, else from the relays. */
export class CatalogueTask {
  readonly replica: CatalogueReplica
  readonly #options: CreateOptions
  readonly #watcher: ObjectWatcher
  #hosts: readonly HostRecord[] = []
  #value: unknown
  #isFetching = false
  #timer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    const { store, location, keyFreshnessMs, clock, logger } = options
    this.#options = options
    this.replica = CatalogueReplica.create({ keyFreshnessMs })
    this.#watcher = ObjectWatcher.create({
      store,
      kind: location.kind,
      waitMs: WATCH_WAIT_MS,
      clock,
      logger,
      isWanted: () => this.#isStoreWanted(),
      events: {
        handleList: (objects) => { for (const object of objects) this.#handleObject(object) },
        handleChange: (object, isRemoved) => { if (!isRemoved) this.#handleObject(object) },
        handleConfirmed: (sentAt) => { if (this.replica.catalogue !== undefined) this.replica.confirm(this.replica.version, sentAt) }
      }
    })
  }

  static create (options: CreateOptions): CatalogueTask {
    return new CatalogueTask(options)
  }

  start (): void {
    void this.#watcher.run()
    this.#tick()
  }

  /** Whether callers with keys can be served, now and a little longer. */
  get isConfirmed (): boolean {
    const { clock, keyFreshnessMs } = this.#options
    return this.replica.catalogue !== undefined && this.replica.readProofAge(clock.readTime()) < keyFreshnessMs * READY_PART
  }

  /** As the store holds it, for a host that asks. */
  get value (): unknown { return this.#value }

  updateHosts (hosts: readonly HostRecord[]): void {
    this.#hosts = hosts
  }

  /** News of a peer. Its proof counts from before the ping was sent. */
  handlePing (link: PeerLink, { catalogueVersion, proofAgeMs }: PingAnswer, sentAt: number): void {
    if (catalogueVersion === this.replica.version) this.replica.confirm(catalogueVersion, sentAt - proofAgeMs)
    else if (catalogueVersion > this.replica.version) void this.#fetch(link)
  }

  close (): void {
    this.#watcher.close()
    clearTimeout(this.#timer)
  }

  async #fetch (link: PeerLink): Promise<void> {
    if (this.#isFetching) return
    this.#isFetching = true
    try {
      const { value } = await link.request(catalogueFetch, {}, FETCH_TIMEOUT_MS)
      this.#apply(value, link.record.host)
    } catch (error) {
      this.#options.logger.warn('catalogue was not fetched', { peer: link.record.host, reason: String((error as Error).message) })
    } finally {
      this.#isFetching = false
    }
  }

  #handleObject ({ name, value }: StoreObject): void {
    if (name === this.#options.location.name) this.#apply(value, 'store')
  }

  #apply (value: unknown, source: string): void {
    const { logger, decode, handleApplied } = this.#options
    const catalogue = decode(value, (reason) => { logger.error('catalogue cannot be read', { source, reason }) })
    if (catalogue === undefined || !this.replica.apply(catalogue)) return
    this.#value = value
    logger.info('catalogue applied', { source, version: catalogue.version, entries: catalogue.entries.size, organisations: catalogue.organisations.size })
    handleApplied(catalogue)
  }

  #listRelays (): HostRecord[] {
    const { links, self } = this.#options
    const usable = this.#hosts.filter((record) => record.host === self || links.find(record).readDownMs() === 0)
    const order = computeRendezvousOrder('catalogue relays', usable.map(({ host }) => host)).slice(0, RELAYS)
    return usable.filter(({ host }) => order.includes(host))
  }

  #isStoreWanted (): boolean {
    const { self, clock } = this.#options
    if (this.replica.catalogue === undefined) return true
    return this.replica.readProofAge(clock.readTime()) > OWN_CALL_AFTER_MS || this.#listRelays().some(({ host }) => host === self)
  }

  #tick (): void {
    const { links, self } = this.#options
    for (const relay of this.#listRelays()) if (relay.host !== self) void links.find(relay).prepare()
    this.#timer = setTimeout(() => { this.#tick() }, TICK_MS)
  }
}
