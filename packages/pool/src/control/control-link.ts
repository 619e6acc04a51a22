import { setTimeout as wait } from 'node:timers/promises'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { configurationUpdateNotification } from '@tanagerusher/protocol/peer/configuration-update'
import { controlSubscribe } from '@tanagerusher/protocol/peer/control-subscribe'
import { membershipUpdate } from '@tanagerusher/protocol/peer/membership-update'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import { statusReport, type StatusReportParams } from '@tanagerusher/protocol/peer/status-report'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { ConnectionOptions } from 'node:tls'
import type { Logger } from 'winston'
import type { PoolConfiguration } from '../configuration/pool-configuration.js'

interface Address {
  host: string
  port: number
}

interface CreateOptions {
  addresses: readonly Address[]
  hello: PeerHello
  /** Address of this process that control announces. */
  address: Address
  tls: ConnectionOptions | undefined
  configuration: PoolConfiguration
  clock: Clock
  logger: Logger
  handleChange: (leaving: boolean) => void
}

const SUBSCRIBE_TIMEOUT_MS = 2000
const REPORT_TIMEOUT_MS = 2000
const RETRY_PAUSE_MS = 200
/** Notifications come every second; a connection that is silent this long is given up. */
const SILENCE_LIMIT_MS = 4000
/** While another host's control serves, the own host's one is tried this often. */
const RETURN_INTERVAL_MS = 5000

/** Keeps a subscription to a control process: the own host's if it answers, else another one's. */
export class ControlLink {
  readonly #options: CreateOptions
  #connection: PeerConnection | undefined
  #isClosed = false
  #heardAt = 0
  #leaving = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ControlLink {
    const link = new ControlLink(options)
    void link.#run()
    return link
  }

  /** Reports are repeated, so a lost one does no harm. */
  sendReport (report: StatusReportParams): void {
    this.#connection?.request(statusReport, report, REPORT_TIMEOUT_MS).catch(() => {})
  }

  close (): void {
    this.#isClosed = true
    this.#connection?.close()
  }

  async #run (): Promise<void> {
    for (let attempt = 0; !this.#isClosed; attempt++) {
      const addresses = this.#listAddresses()
      const index = attempt % addresses.length
      const isSubscribed = await this.#subscribe(addresses[index] as Address)
      if (isSubscribed) {
        await this.#waitForEnd(index === 0)
        attempt = -1
      }
      if (!this.#isClosed) await wait(RETRY_PAUSE_MS)
    }
  }

  #listAddresses (): Address[] {
    const known = this.#options.configuration.members.map(({ addresses }) => addresses.control)
    const all = [...this.#options.addresses, ...known]
    return all.filter((address, index) => all.findIndex(({ host, port }) => host === address.host && port === address.port) === index)
  }

  async #subscribe (address: Address): Promise<boolean> {
    const { hello, tls, configuration, clock, logger } = this.#options
    try {
      const connection = await openPeerConnection({ ...address, hello, ...(tls === undefined ? {} : { tls }) })
      this.#connection = connection
      this.#addNotifications(connection)
      const result = await connection.request(controlSubscribe, {
        role: 'pool', incarnation: hello.incarnation, address: this.#options.address, configurationVersion: configuration.version
      }, SUBSCRIBE_TIMEOUT_MS)
      this.#heardAt = clock.readTime()
      if (result.configuration !== null) configuration.apply(result.configuration)
      configuration.setMembers(result.members)
      configuration.recordContact(result.confirmedAgeMs, this.#heardAt)
      this.#options.handleChange(this.#leaving)
      logger.info('subscribed to control', { address: `${address.host}:${address.port}`, version: configuration.version })
      return true
    } catch (error) {
      this.#connection?.destroy()
      logger.warn('control does not answer', { address: `${address.host}:${address.port}`, reason: String((error as Error).message) })
      return false
    }
  }

  #addNotifications (connection: PeerConnection): void {
    const { configuration, clock } = this.#options
    connection.addNotification(configurationUpdateNotification, (update) => {
      this.#heardAt = clock.readTime()
      if (!configuration.apply(update)) connection.destroy()
      this.#options.handleChange(this.#leaving)
    })
    connection.addNotification(membershipUpdate, ({ members, confirmedAgeMs, leaving }) => {
      this.#heardAt = clock.readTime()
      this.#leaving = leaving
      configuration.setMembers(members)
      configuration.recordContact(confirmedAgeMs, this.#heardAt)
      this.#options.handleChange(leaving)
    })
  }

  async #waitForEnd (isOwn: boolean): Promise<void> {
    const connection = this.#connection as PeerConnection
    const startedAt = this.#options.clock.readTime()
    while (connection.isOpen && !this.#isClosed) {
      await Promise.race([connection.closed, wait(RETRY_PAUSE_MS)])
      const now = this.#options.clock.readTime()
      if (now - this.#heardAt > SILENCE_LIMIT_MS || (!isOwn && now - startedAt > RETURN_INTERVAL_MS)) connection.destroy()
    }
  }
}
