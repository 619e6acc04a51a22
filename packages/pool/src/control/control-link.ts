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
  /** Address of this process, which control distributes to other hosts. */
  address: Address
  tls: ConnectionOptions | undefined
  configuration: PoolConfiguration
  clock: Clock
  logger: Logger
  handleChange: (leaving: boolean) => void
}

const SUBSCRIBE_TIMEOUT_MS = 2000
const REPORT_TIMEOUT_MS = 2000
const RETRY_DELAY_MS = 200
/** Notifications arrive every second. A connection without any for this time is closed. */
const RECEIVE_TIMEOUT_MS = 4000
/** Interval at which a link to the control process of another host is closed to try the one of its own host again. */
const OWN_CONTROL_RETRY_INTERVAL_MS = 5000

/** Keeps a subscription to a control process: the one of this host if it responds, otherwise the one of another host. */
export class ControlLink {
  readonly #options: CreateOptions
  #connection: PeerConnection | undefined
  #isClosed = false
  #receivedAt = 0
  #isLeaving = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ControlLink {
    const link = new ControlLink(options)
    void link.#run()
    return link
  }

  /** Ignores failures, because reports are sent periodically. */
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
        await this.#waitUntilClosed(index === 0)
        attempt = -1
      }
      if (!this.#isClosed) await wait(RETRY_DELAY_MS)
    }
  }

  #listAddresses (): Address[] {
    const memberAddresses = this.#options.configuration.members.map(({ addresses }) => addresses.control)
    const all = [...this.#options.addresses, ...memberAddresses]
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
      this.#receivedAt = clock.readTime()
      if (result.configuration !== null) configuration.apply(result.configuration)
      configuration.setMembers(result.members)
      configuration.recordContact(result.confirmedAgeMs, this.#receivedAt)
      this.#options.handleChange(this.#isLeaving)
      logger.info('subscribed to control', { address: `${address.host}:${address.port}`, version: configuration.version })
      return true
    } catch (error) {
      this.#connection?.destroy()
      logger.warn('cannot subscribe to control', { address: `${address.host}:${address.port}`, reason: String((error as Error).message) })
      return false
    }
  }

  #addNotifications (connection: PeerConnection): void {
    const { configuration, clock } = this.#options
    connection.addNotification(configurationUpdateNotification, (update) => {
      this.#receivedAt = clock.readTime()
      if (!configuration.apply(update)) connection.destroy()
      this.#options.handleChange(this.#isLeaving)
    })
    connection.addNotification(membershipUpdate, ({ members, confirmedAgeMs, leaving }) => {
      this.#receivedAt = clock.readTime()
      this.#isLeaving = leaving
      configuration.setMembers(members)
      configuration.recordContact(confirmedAgeMs, this.#receivedAt)
      this.#options.handleChange(leaving)
    })
  }

  async #waitUntilClosed (isOwn: boolean): Promise<void> {
    const connection = this.#connection as PeerConnection
    const startedAt = this.#options.clock.readTime()
    while (connection.isOpen && !this.#isClosed) {
      await Promise.race([connection.closed, wait(RETRY_DELAY_MS)])
      const now = this.#options.clock.readTime()
      if (now - this.#receivedAt > RECEIVE_TIMEOUT_MS || (!isOwn && now - startedAt > OWN_CONTROL_RETRY_INTERVAL_MS)) connection.destroy()
    }
  }
}
