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
  /** Time up to which a majority of the hosts confirmed the share table. */
  findMajorityConfirmation: () => number
}

const KINDS = ['organisation', 'key', 'entry', 'group', 'fleet']
/** A whole list now and then finds a change that the watch skipped. */
const LIST_EVERY_MS = 60_000
const RETRY_MIN_MS = 250
const RETRY_MAX_MS = 2000
const SOURCE_CHECK_MS = 500
const PEER_TIMEOUT_MS = 2000
const STORE_FRESH_MS = 8000

/**
 * Keeps the host's copy of the configuration up to date. The relay of a data centre watches the store; the others
 * subscribe to the relay. Whoever hears of a newer version in a heartbeat fetches it there.
 */
export class ConfigurationTask {
  readonly replica = ConfigurationReplica.create()
  readonly #options: CreateOptions
  readonly #subscribers = new Set<PeerConnection>()
  #storeConfirmedAt: number | undefined
  /** When the last heartbeat was sent that a host answered without knowing a newer configuration. */
  readonly #peerConfirmedAt = new Map<string, number>()
  #listedAt = -Infinity
  #cursor = 0
  #source: { connection: PeerConnection, key: string } | undefined
  #isFetching = false
  #isClosed = false
  #failures = 0
  #wake: () => void = () => {}

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ConfigurationTask {
    return new ConfigurationTask(options)
  }

  /** Time since the store had nothing newer than the own copy; null when that was never so. */
  readStoreAge (now: number): number | null {
    return this.#storeConfirmedAt === undefined ? null : now - this.#storeConfirmedAt
  }

  get storeConfirmedAt (): number | undefined { return this.#storeConfirmedAt }

  /** Whether this host watches the store for its data centre. */
  isRelay (now: number): boolean {
    const { view } = this.#options
    return listConfigurationSources(view.self, view.listServing(now))[0]?.host === view.self.host
  }

  /** Whether a call to the store succeeded lately, here or at the relay. */
  isStoreFresh (now: number): boolean {
    return (this.readStoreAge(now) ?? Infinity) < STORE_FRESH_MS
  }

  /**
   * Time up to which a majority of these hosts had nothing newer than the own configuration; -Infinity without one.
   * Hosts count by name: a restarted one has taken the configuration from its peers again.
   */
  findMajorityConfirmation (rows: ReadonlyArray<{ host: string }>, now: number): number {
    const times = rows
      .map(({ host }) => host === this.#options.view.self.host ? now : this.#peerConfirmedAt.get(host) ?? -Infinity)
      .sort((left, right) => right - left)
    return times[Math.floor(rows.length / 2)] ?? -Infinity
  }

  start (): void {
    void this.#run()
  }

  close (): void {
    this.#isClosed = true
    this.#wake()
  }

  /** Methods that peers call. */
  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(configurationFetch, async ({ fromVersion }) => this.#answerFetch(fromVersion))
    connection.addMethod(configurationSubscribe, async ({ fromVersion }) => {
      this.#subscribers.add(connection)
      void connection.closed.then(() => this.#subscribers.delete(connection))
      return this.#answerFetch(fromVersion)
    })
    connection.addNotification(configurationUpdateNotification, (update) => { this.applyUpdate(update, connection) })
  }

  /** Takes what a heartbeat's answer says of the peer's configuration. `sentAt` is when the heartbeat was sent. */
  handleHeartbeatAnswer ({ member, digest, storeAgeMs }: HeartbeatContent, sentAt: number): void {
    const { version } = this.replica
    const isSame = member.configurationVersion === version && digest === this.replica.digest
    if (member.configurationVersion > version) {
      this.#fetch(member.addresses.control, version)
      return
    }
    this.#peerConfirmedAt.set(member.host, Math.max(sentAt, this.#peerConfirmedAt.get(member.host) ?? -Infinity))
    if (storeAgeMs !== null && (isSame || member.configurationVersion < version)) this.#confirm(sentAt - storeAgeMs)
  }

  /** Takes an update from a peer. After a gap or damage, what is missing is fetched from the same peer. */
  applyUpdate (update: ConfigurationUpdate, connection?: PeerConnection): void {
    const before = this.replica.version
    const result = this.replica.apply(update)
    if (result === 'applied') this.#announce(before)
    else if (result !== 'stale' && connection !== undefined) this.#fetchFrom(connection, result === 'damaged' ? 0 : before)
  }

  async #run (): Promise<void> {
    while (!this.#isClosed) {
      const { view, clock } = this.#options
      const [source] = listConfigurationSources(view.self, view.listServing(clock.readTime()))
      const pauseMs = source === undefined || source.host === view.self.host ? await this.#watchStore() : await this.#followPeer(source.addresses.control)
      if (pauseMs > 0) await this.#wait(pauseMs)
    }
  }

  /** One call to the store; returns how long to pause before the next. */
  async #watchStore (): Promise<number> {
    const { clock, store, logger, findMajorityConfirmation } = this.#options
    const sentAt = clock.readTime()
    try {
      if (sentAt - this.#listedAt >= LIST_EVERY_MS) await this.#readAll(sentAt)
      else this.#applyChanges(await store.watch(KINDS, this.#cursor, chooseWatchDuration(findMajorityConfirmation(), sentAt)))
      this.#confirm(sentAt)
      this.#failures = 0
      return 0
    } catch (error) {
      if (this.#failures++ === 0) logger.warn('the store does not answer; configuration changes wait', { error: String(error) })
      const limit = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** this.#failures)
      return limit / 2 + Math.random() * limit / 2
    }
  }

  async #readAll (sentAt: number): Promise<void> {
    const { store, logger } = this.#options
    const { version, objects } = await store.list(KINDS)
    const changes = this.#parse(objects.map((object): StoredChange => ({ type: 'put', object })))
    const rebuilt = ConfigurationReplica.create()
    const before = this.replica.version
    const digest = rebuilt.computeDigest(changes)
    this.#listedAt = sentAt
    this.#cursor = version
    if (digest === this.replica.digest && before > 0) return
    if (version < before) {
      logger.error('the store is older than this host; its objects are not taken', { storeVersion: version, version: before })
      return
    }
    const update = { fromVersion: 0, toVersion: version, changes, digest }
    if (this.replica.apply(update, { isFromStore: true }) === 'applied') this.#announce(version === before ? 0 : before)
  }

  #applyChanges ({ version, changes }: { version: number, changes: StoredChange[] }): void {
    const before = this.replica.version
    this.#cursor = Math.max(this.#cursor, version)
    if (this.replica.applyStoreChanges(this.#parse(changes)) !== null) this.#announce(before)
  }

  #parse (changes: StoredChange[]): ReturnType<typeof parseStoredChanges> {
    return parseStoredChanges(changes, (object, found) => { this.#options.logger.error('the store holds an object that is not valid', { object, found }) })
  }

  /** Keeps a subscription to a peer. */
  async #followPeer (address: PeerAddress): Promise<number> {
    const key = `${address.host}:${address.port}`
    if (this.#source?.key === key && this.#source.connection.isOpen) return SOURCE_CHECK_MS
    try {
      const connection = await this.#options.links.connect(address)
      const { update } = await connection.request(configurationSubscribe, { fromVersion: this.replica.version }, PEER_TIMEOUT_MS)
      this.#source = { connection, key }
      if (update !== null) this.applyUpdate(update, connection)
    } catch {
      this.#source = undefined
    }
    return SOURCE_CHECK_MS
  }

  #answerFetch (fromVersion: number): { update: ConfigurationUpdate | null, version: number } {
    return { update: this.replica.createUpdate(fromVersion), version: this.replica.version }
  }

  #fetch (address: PeerAddress, fromVersion: number): void {
    this.#options.links.connect(address).then((connection) => { this.#fetchFrom(connection, fromVersion) }, () => {})
  }

  #fetchFrom (connection: PeerConnection, fromVersion: number): void {
    if (this.#isFetching) return
    this.#isFetching = true
    connection.request(configurationFetch, { fromVersion }, PEER_TIMEOUT_MS).then(({ update }) => {
      this.#isFetching = false
      if (update === null) return
      const before = this.replica.version
      const result = this.replica.apply(update)
      if (result === 'applied') this.#announce(before)
      else if (result === 'damaged' && fromVersion !== 0) this.#fetchFrom(connection, 0)
    }, () => { this.#isFetching = false })
  }

  #confirm (at: number): void {
    this.#storeConfirmedAt = Math.max(at, this.#storeConfirmedAt ?? -Infinity)
  }

  /** Sends what changed since `before` to the subscribed peers and to the own process. */
  #announce (before: number): void {
    const update = this.replica.createUpdate(before)
    if (update !== null) for (const connection of this.#subscribers) connection.notify(configurationUpdateNotification, update)
    this.#cursor = Math.max(this.#cursor, this.replica.version)
    this.#options.handleChange(this.replica)
  }

  async #wait (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms)
      this.#wake = () => { clearTimeout(timer); resolve() }
    })
  }
}
