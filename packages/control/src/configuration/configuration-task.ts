import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformStore, StoredChange } from '@tanagerusher/coordination/common/platform-store'
import { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { chooseWatchDuration } from '@tanagerusher/coordination/configuration/choose-watch-duration'
import { listConfigurationSources } from '@tanagerusher/coordination/configuration/list-configuration-sources'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import { configurationFetch } from '@tanagerusher/protocol/peer/configuration-fetch'
import { configurationSubscribe } from '@tanagerusher/protocol/peer/configuration-subscribe'
import { configurationUpdateNotification } from '@tanagerusher/protocol/peer/configuration-update'
import type { HeartbeatContent } from '@tanagerusher/protocol/peer/membership-heartbeat'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { Logger } from 'winston'
import type { PeerLinks } from '../peer/peer-links.js'
import type { PeerAddress } from '../peer/peer-address.js'
import { parseStoredChanges } from './parse-stored-changes.js'

interface CreateOptions {
  clock: Clock
  store: PlatformStore
  links: PeerLinks
  view: MembershipView
  logger: Logger
  handleChange: (replica: ConfigurationReplica) => void
  /** Returns the latest time at which a majority of the hosts confirmed the share table. */
  findMajorityConfirmation: () => number
}

const OBJECT_KINDS = ['organisation', 'key', 'entry', 'group', 'fleet']
/** A periodic list of all objects finds changes that the watch skipped. */
const FULL_LIST_INTERVAL_MS = 60_000
const RETRY_MIN_DELAY_MS = 250
const RETRY_MAX_DELAY_MS = 2000
const SOURCE_CHECK_INTERVAL_MS = 500
const PEER_REQUEST_TIMEOUT_MS = 2000
const STORE_FRESHNESS_LIMIT_MS = 8000

/**
 * Keeps the host's copy of the configuration up to date. The relay of a data centre watches the store; the other hosts subscribe to
 * the relay. When the response to a heartbeat contains a newer version, the host fetches it from that peer.
 */
export class ConfigurationTask {
  readonly replica = ConfigurationReplica.create()
  readonly #options: CreateOptions
  readonly #subscribers = new Set<PeerConnection>()
  #storeConfirmedAt: number | undefined
  /** By host: when the latest heartbeat was sent whose response contained no newer configuration version. */
  readonly #peerConfirmedAtByHost = new Map<string, number>()
  #fullListSentAt = -Infinity
  #watchCursor = 0
  #source: { connection: PeerConnection, key: string } | undefined
  #isFetching = false
  #isClosed = false
  #storeFailureCount = 0
  #endWait: () => void = () => {}

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ConfigurationTask {
    return new ConfigurationTask(options)
  }

  /** Returns the time since the store was last confirmed to have nothing newer than this host's copy; null without a confirmation. */
  readStoreAgeMs (now: number): number | null {
    return this.#storeConfirmedAt === undefined ? null : now - this.#storeConfirmedAt
  }

  get storeConfirmedAt (): number | undefined { return this.#storeConfirmedAt }

  /** Whether this host watches the store for its data centre. */
  isRelay (now: number): boolean {
    const { view } = this.#options
    return listConfigurationSources(view.self, view.listServing(now))[0]?.host === view.self.host
  }

  /** Whether a call to the store, by this host or a peer, confirmed the configuration within the last 8 s. */
  isStoreFresh (now: number): boolean {
    return (this.readStoreAgeMs(now) ?? Infinity) < STORE_FRESHNESS_LIMIT_MS
  }

  /**
   * Returns the latest time at which a majority of these hosts had nothing newer than this host's configuration; -Infinity without
   * a majority. Hosts are identified by name, because a restarted host has fetched the configuration from its peers again.
   */
  findMajorityConfirmation (rows: ReadonlyArray<{ host: string }>, now: number): number {
    const confirmationTimes = rows
      .map(({ host }) => host === this.#options.view.self.host ? now : this.#peerConfirmedAtByHost.get(host) ?? -Infinity)
      .sort((left, right) => right - left)
    return confirmationTimes[Math.floor(rows.length / 2)] ?? -Infinity
  }

  start (): void {
    void this.#run()
  }

  close (): void {
    this.#isClosed = true
    this.#endWait()
  }

  /** Registers the methods and notifications that peers send. */
  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(configurationFetch, async ({ fromVersion }) => this.#handleFetch(fromVersion))
    connection.addMethod(configurationSubscribe, async ({ fromVersion }) => {
      this.#subscribers.add(connection)
      void connection.closed.then(() => this.#subscribers.delete(connection))
      return this.#handleFetch(fromVersion)
    })
    connection.addNotification(configurationUpdateNotification, (update) => { this.applyUpdate(update, connection) })
  }

  /**
   * Handles the response to a heartbeat that was sent at `sentAt`: the peer's configuration version and digest, and the age of its
   * last confirmation by the store.
   */
  handleHeartbeatResponse ({ member, digest, storeAgeMs }: HeartbeatContent, sentAt: number): void {
    const { version } = this.replica
    const isSame = member.configurationVersion === version && digest === this.replica.digest
    if (member.configurationVersion > version) {
      this.#fetchFromPeer(member.addresses.control, version)
      return
    }
    this.#peerConfirmedAtByHost.set(member.host, Math.max(sentAt, this.#peerConfirmedAtByHost.get(member.host) ?? -Infinity))
    if (storeAgeMs !== null && (isSame || member.configurationVersion < version)) this.#recordStoreConfirmation(sentAt - storeAgeMs)
  }

  /** Applies an update from a peer. After a gap or a digest mismatch, the missing changes are fetched from the same peer. */
  applyUpdate (update: ConfigurationUpdate, connection?: PeerConnection): void {
    const previousVersion = this.replica.version
    const result = this.replica.apply(update)
    if (result === 'applied') this.#notifyUpdate(previousVersion)
    else if (result !== 'stale' && connection !== undefined) this.#fetchOverConnection(connection, result === 'damaged' ? 0 : previousVersion)
  }

  async #run (): Promise<void> {
    while (!this.#isClosed) {
      const { view, clock } = this.#options
      const [source] = listConfigurationSources(view.self, view.listServing(clock.readTime()))
      const delayMs = source === undefined || source.host === view.self.host ? await this.#watchStore() : await this.#subscribeToPeer(source.addresses.control)
      if (delayMs > 0) await this.#wait(delayMs)
    }
  }

  /** Makes one call to the store; returns the delay before the next one in ms. */
  async #watchStore (): Promise<number> {
    const { clock, store, logger, findMajorityConfirmation } = this.#options
    const sentAt = clock.readTime()
    try {
      if (sentAt - this.#fullListSentAt >= FULL_LIST_INTERVAL_MS) await this.#loadAllObjects(sentAt)
      else this.#applyChanges(await store.watch(OBJECT_KINDS, this.#watchCursor, chooseWatchDuration(findMajorityConfirmation(), sentAt)))
      this.#recordStoreConfirmation(sentAt)
      this.#storeFailureCount = 0
      return 0
    } catch (error) {
      if (this.#storeFailureCount++ === 0) logger.warn('the store does not respond; configuration changes are delayed', { error: String(error) })
      const maximumDelayMs = Math.min(RETRY_MAX_DELAY_MS, RETRY_MIN_DELAY_MS * 2 ** this.#storeFailureCount)
      return maximumDelayMs / 2 + Math.random() * maximumDelayMs / 2
    }
  }

  async #loadAllObjects (sentAt: number): Promise<void> {
    const { store, logger } = this.#options
    const { version, objects } = await store.list(OBJECT_KINDS)
    const changes = this.#parse(objects.map((object): StoredChange => ({ type: 'put', object })))
    const emptyReplica = ConfigurationReplica.create()
    const previousVersion = this.replica.version
    const digest = emptyReplica.computeDigest(changes)
    this.#fullListSentAt = sentAt
    this.#watchCursor = version
    if (digest === this.replica.digest && previousVersion > 0) return
    if (version < previousVersion) {
      logger.error('the store has an older configuration version than this host; its objects are ignored', { storeVersion: version, version: previousVersion })
      return
    }
    const update = { fromVersion: 0, toVersion: version, changes, digest }
    if (this.replica.apply(update, { isFromStore: true }) === 'applied') this.#notifyUpdate(version === previousVersion ? 0 : previousVersion)
  }

  #applyChanges ({ version, changes }: { version: number, changes: StoredChange[] }): void {
    const previousVersion = this.replica.version
    this.#watchCursor = Math.max(this.#watchCursor, version)
    if (this.replica.applyStoreChanges(this.#parse(changes)) !== null) this.#notifyUpdate(previousVersion)
  }

  #parse (changes: StoredChange[]): ReturnType<typeof parseStoredChanges> {
    return parseStoredChanges(changes, (object, found) => { this.#options.logger.error('ignored an invalid object from the store', { object, found }) })
  }

  /** Subscribes to a peer unless the subscription is open; returns the delay before the next check in ms. */
  async #subscribeToPeer (address: PeerAddress): Promise<number> {
    const key = `${address.host}:${address.port}`
    if (this.#source?.key === key && this.#source.connection.isOpen) return SOURCE_CHECK_INTERVAL_MS
    try {
      const connection = await this.#options.links.connect(address)
      const { update } = await connection.request(configurationSubscribe, { fromVersion: this.replica.version }, PEER_REQUEST_TIMEOUT_MS)
      this.#source = { connection, key }
      if (update !== null) this.applyUpdate(update, connection)
    } catch {
      this.#source = undefined
    }
    return SOURCE_CHECK_INTERVAL_MS
  }

  #handleFetch (fromVersion: number): { update: ConfigurationUpdate | null, version: number } {
    return { update: this.replica.createUpdate(fromVersion), version: this.replica.version }
  }

  #fetchFromPeer (address: PeerAddress, fromVersion: number): void {
    this.#options.links.connect(address).then((connection) => { this.#fetchOverConnection(connection, fromVersion) }, () => {})
  }

  #fetchOverConnection (connection: PeerConnection, fromVersion: number): void {
    if (this.#isFetching) return
    this.#isFetching = true
    connection.request(configurationFetch, { fromVersion }, PEER_REQUEST_TIMEOUT_MS).then(({ update }) => {
      this.#isFetching = false
      if (update === null) return
      const previousVersion = this.replica.version
      const result = this.replica.apply(update)
      if (result === 'applied') this.#notifyUpdate(previousVersion)
      else if (result === 'damaged' && fromVersion !== 0) this.#fetchOverConnection(connection, 0)
    }, () => { this.#isFetching = false })
  }

  #recordStoreConfirmation (confirmedAt: number): void {
    this.#storeConfirmedAt = Math.max(confirmedAt, this.#storeConfirmedAt ?? -Infinity)
  }

  /** Notifies the subscribed peers and this process of the changes since `previousVersion`. */
  #notifyUpdate (previousVersion: number): void {
    const update = this.replica.createUpdate(previousVersion)
    if (update !== null) for (const connection of this.#subscribers) connection.notify(configurationUpdateNotification, update)
    this.#watchCursor = Math.max(this.#watchCursor, this.replica.version)
    this.#options.handleChange(this.replica)
  }

  async #wait (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms)
      this.#endWait = () => { clearTimeout(timer); resolve() }
    })
  }
}
