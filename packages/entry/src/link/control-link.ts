import type { Clock } from '@tanagerusher/coordination/common/clock'
import { KeyFreshness } from '@tanagerusher/coordination/keys/key-freshness'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { budgetRequest, type BudgetRequestParams, type BudgetRequestResult } from '@tanagerusher/protocol/peer/budget-request'
import { budgetReturn } from '@tanagerusher/protocol/peer/budget-return'
import { configurationUpdateNotification } from '@tanagerusher/protocol/peer/configuration-update'
import { controlSubscribe, type ControlSubscribeResult } from '@tanagerusher/protocol/peer/control-subscribe'
import { membershipUpdate, type MembershipUpdateParams } from '@tanagerusher/protocol/peer/membership-update'
import { statusReport, type StatusReportParams } from '@tanagerusher/protocol/peer/status-report'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { ConfigurationUpdate } from '@tanagerusher/state/configuration/configuration-update'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { ConnectionOptions } from 'node:tls'
import type { Logger } from 'winston'
import type { ConfigurationView } from './configuration-view.js'

interface Address {
  host: string
  port: number
}

interface CreateOptions {
  /** Control of the same host first. */
  controls: readonly Address[]
  /** Address of this entry's peer server. */
  address: Address
  hello: PeerHello
  tls?: ConnectionOptions
  clock: Clock
  logger: Logger
  configuration: ConfigurationView
  /** Age of the last configuration confirmation above which the host stops serving. */
  maximumAgeMs: number
  handleConfiguration: () => void
  handleMembers: (members: FleetMember[], isLeaving: boolean) => void
}

const SUBSCRIBE_TIMEOUT_MS = 2000
const RECONNECT_DELAY_MS = 250
const BUDGET_TIMEOUT_MS = 1000
const REPORT_TIMEOUT_MS = 2000
// While connected to another host's control, a connection to the control of the same host is tried at this interval.
const OWN_CONTROL_RETRY_MS = 5000
const CHECK_INTERVAL_MS = 1000
// Control sends membership every second; a connection without a message for this time counts as lost. The timeout must
// leave enough time to connect to another control before the configuration becomes stale.
const RECEIVE_TIMEOUT_MS = 3000

/**
 * Subscription to the control process of the same host, or of another host when that one is unreachable. Owns the
 * connection and its timer.
 */
export class ControlLink {
  readonly #options: CreateOptions
  #connection: PeerConnection | undefined
  #isOwnControl = false
  readonly #freshness: KeyFreshness
  #lastMessageAt = 0
  #members: FleetMember[] = []
  #nextCandidate = 0
  #ownControlTriedAt = 0
  #timer: NodeJS.Timeout | undefined
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#freshness = KeyFreshness.create({ limitMs: options.maximumAgeMs })
  }

  static create (options: CreateOptions): ControlLink {
    return new ControlLink(options)
  }

  get members (): readonly FleetMember[] {
    return this.#members
  }

  get isConnected (): boolean {
    return this.#connection?.isOpen === true
  }

  /** Returns the time since the store or a majority of hosts last confirmed the configuration; infinite before the first confirmation. */
  computeConfirmedAge (): number {
    return this.#freshness.readAge(this.#options.clock.readTime())
  }

  /** Returns true while the configuration is recent enough to include all withdrawn keys. */
  isFresh (): boolean {
    return this.#freshness.isFresh(this.#options.clock.readTime())
  }

  start (): void {
    void this.#connect()
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
    this.#connection?.close()
  }

  async requestBudget (params: BudgetRequestParams): Promise<BudgetRequestResult> {
    return await this.#getConnection().request(budgetRequest, params, BUDGET_TIMEOUT_MS)
  }

  async returnBudget (params: { organisation: string, grantId: string, tokens: number }): Promise<void> {
    await this.#getConnection().request(budgetReturn, params, BUDGET_TIMEOUT_MS)
  }

  /** Sends a status report. Failures are ignored, because reports are repeated. */
  sendReport (report: StatusReportParams): void {
    this.#connection?.request(statusReport, report, REPORT_TIMEOUT_MS).catch(() => {})
  }

  #getConnection (): PeerConnection {
    if (this.#connection !== undefined) return this.#connection
    throw TanagerusherError.create('peer-failed', { details: { peer: 'control', reason: 'not connected' } })
  }

  async #connect (): Promise<void> {
    if (this.#isClosed) return
    const candidates = this.#listCandidates()
    const index = this.#nextCandidate++ % candidates.length
    try {
      await this.#subscribe(candidates[index] as Address, index === 0)
    } catch (error) {
      this.#options.logger.warn('cannot subscribe to control', { control: candidates[index], reason: (error as Error).message })
      this.#schedule(() => { void this.#connect() }, RECONNECT_DELAY_MS)
    }
  }

  #listCandidates (): Address[] {
    const addressesByName = new Map(this.#options.controls.map((address) => [`${address.host}:${address.port}`, address]))
    for (const { addresses: { control } } of this.#members) addressesByName.set(`${control.host}:${control.port}`, control)
    return [...addressesByName.values()]
  }

  async #subscribe (control: Address, isOwn: boolean): Promise<void> {
    const { hello, tls, address, configuration } = this.#options
    const connection = await openPeerConnection({ ...control, hello, ...(tls === undefined ? {} : { tls }) })
    this.#addHandlers(connection)
    let result: ControlSubscribeResult
    try {
      result = await connection.request(controlSubscribe, {
        role: 'entry', incarnation: hello.incarnation, address, configurationVersion: configuration.version
      }, SUBSCRIBE_TIMEOUT_MS)
    } catch (error) {
      connection.destroy()
      throw error
    }
    if (this.#isClosed) {
      connection.close()
      return
    }
    this.#connection?.close()
    this.#connection = connection
    this.#isOwnControl = isOwn
    this.#nextCandidate = 0
    if (result.configuration !== null) this.#handleConfiguration(connection, result.configuration)
    this.#handleMembership({ members: result.members, confirmedAgeMs: result.confirmedAgeMs, leaving: false })
    void connection.closed.then(() => { this.#handleClosed(connection) })
    this.#ownControlTriedAt = this.#options.clock.readTime()
    this.#schedule(() => { this.#checkConnection() }, CHECK_INTERVAL_MS)
  }

  #addHandlers (connection: PeerConnection): void {
    connection.addNotification(configurationUpdateNotification, (update) => { this.#handleConfiguration(connection, update) })
    connection.addNotification(membershipUpdate, (update) => { this.#handleMembership(update) })
  }

  #handleConfiguration (connection: PeerConnection, update: ConfigurationUpdate): void {
    const applied = this.#options.configuration.apply(update)
    if (applied === 'applied') this.#options.handleConfiguration()
    // A new subscription from the current version delivers the missing changes.
    if (applied === 'gap') connection.close()
  }

  #handleMembership ({ members, confirmedAgeMs, leaving }: MembershipUpdateParams): void {
    const now = this.#options.clock.readTime()
    this.#lastMessageAt = now
    this.#freshness.recordAge(confirmedAgeMs, now)
    this.#members = members
    this.#options.handleMembers(members, leaving)
  }

  #handleClosed (connection: PeerConnection): void {
    if (this.#connection !== connection || this.#isClosed) return
    this.#connection = undefined
    void this.#connect()
  }

  #checkConnection (): void {
    if (this.#connection === undefined || this.#isClosed) return
    const now = this.#options.clock.readTime()
    if (now - this.#lastMessageAt > RECEIVE_TIMEOUT_MS) this.#connection.destroy()
    else if (this.#isOwnControl || now - this.#ownControlTriedAt < OWN_CONTROL_RETRY_MS) this.#schedule(() => { this.#checkConnection() }, CHECK_INTERVAL_MS)
    else void this.#reconnectToOwn()
  }

  async #reconnectToOwn (): Promise<void> {
    try {
      await this.#subscribe(this.#options.controls[0] as Address, true)
    } catch {
      this.#ownControlTriedAt = this.#options.clock.readTime()
      this.#schedule(() => { this.#checkConnection() }, CHECK_INTERVAL_MS)
    }
  }

  #schedule (run: () => void, delayMs: number): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(run, delayMs)
  }
}
