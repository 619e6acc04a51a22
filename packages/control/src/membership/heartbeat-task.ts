import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { membershipHeartbeat, type HeartbeatContent, type MembershipHeartbeatParams, type MembershipHeartbeatResult } from '@tanagerusher/protocol/peer/membership-heartbeat'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { BudgetTask } from '../budget/budget-task.js'
import type { PeerLinks } from '../peer/peer-links.js'
import type { PeerAddress } from '../peer/peer-address.js'
import { createShareRow } from './create-share-row.js'

interface CreateOptions {
  clock: Clock
  links: PeerLinks
  view: MembershipView
  shareTable: ShareTable
  /** Control addresses from the settings, used to find the fleet. */
  seeds: readonly PeerAddress[]
  budgets: Pick<BudgetTask, 'takeRenewal' | 'delegate' | 'handleRenewalResponse'>
  describeConfiguration: () => Pick<MembershipHeartbeatResult, 'digest' | 'storeAgeMs'>
  handleResponse: (response: HeartbeatContent, sentAt: number) => void
  /** Called after each round. */
  handleRound: () => void
  /** Called when a host joined, left or changed its state. */
  handleChange: () => void
}

/** In each interval a host receives two messages from every other host: a heartbeat and the response to its own heartbeat. */
const HEARTBEAT_INTERVAL_MS = 1000
const HEARTBEAT_TIMEOUT_MS = 1500
/** Length of a cycle of heartbeat rounds. The first two rounds of each cycle request the list of members from the peers. */
const MEMBERS_REQUEST_CYCLE_ROUNDS = 10
/** The oldest addresses are dropped first; a running host is a member, so its address is known without a hint. */
const ADDRESS_HINT_LIMIT = 64

/** Sends heartbeats to the other control processes every second and responds to theirs. */
export class HeartbeatTask {
  readonly #options: CreateOptions
  /** By connection: the member of this host as last sent, and that of the peer as last received. */
  readonly #sentMembers = new WeakMap<PeerConnection, FleetMember>()
  readonly #receivedMembers = new WeakMap<PeerConnection, FleetMember>()
  #addressHints: PeerAddress[] = []
  #timer: NodeJS.Timeout | undefined
  #startedRounds = 0

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): HeartbeatTask {
    return new HeartbeatTask(options)
  }

  start (): void {
    this.#timer = setInterval(() => { this.#runRound() }, HEARTBEAT_INTERVAL_MS)
    this.#runRound()
  }

  close (): void {
    clearInterval(this.#timer)
  }

  /** Sends one round immediately, e.g. after the state of this host changed. */
  sendImmediately (): void {
    this.#runRound()
  }

  /** Sets the addresses from the platform's delayed list of hosts. They are only used to contact hosts. */
  updateAddressHints (hints: PeerAddress[]): void {
    this.#addressHints = hints
  }

  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(membershipHeartbeat, async (params) => this.#handleHeartbeat(connection, params))
  }

  #handleHeartbeat (connection: PeerConnection, params: MembershipHeartbeatParams): MembershipHeartbeatResult {
    const { clock, view, shareTable } = this.#options
    const { wantMembers, shareTableVersion, delegate } = params
    const member = this.#readMember(connection, params.member)
    const now = clock.readTime()
    if (view.recordHeartbeat(member, now)) this.#options.handleChange()
    shareTable.recordTableVersion(createShareRow(member), shareTableVersion, now)
    return {
      ...this.#createContent(connection),
      ...(delegate === undefined ? {} : { delegated: this.#options.budgets.delegate(delegate) }),
      ...(wantMembers ? { members: view.listMembers(now).slice(1) } : {})
    }
  }

  #runRound (): void {
    const { clock, view, handleRound } = this.#options
    const wantMembers = this.#startedRounds++ % MEMBERS_REQUEST_CYCLE_ROUNDS < 2
    const addresses = new Map<string, { address: PeerAddress, member?: FleetMember }>()
    const ownAddress = view.self.addresses.control
    for (const address of [...this.#options.seeds, ...this.#addressHints]) addresses.set(`${address.host}:${address.port}`, { address })
    for (const member of view.listMembers(clock.readTime()).slice(1)) {
      const address = member.addresses.control
      addresses.set(`${address.host}:${address.port}`, { address, member })
    }
    addresses.delete(`${ownAddress.host}:${ownAddress.port}`)
    for (const { address, member } of addresses.values()) void this.#send(address, member, wantMembers)
    handleRound()
  }

  async #send (address: PeerAddress, member: FleetMember | undefined, wantMembers: boolean): Promise<void> {
    const { clock, links, budgets } = this.#options
    try {
      const connection = await links.connect(address)
      const sentAt = clock.readTime()
      const delegate = member === undefined ? undefined : budgets.takeRenewal(member.incarnation)
      const params = { ...this.#createContent(connection), ...(wantMembers ? { wantMembers } : {}), ...(delegate === undefined ? {} : { delegate }) }
      const response = await connection.request(membershipHeartbeat, params, HEARTBEAT_TIMEOUT_MS)
      this.#handleResponse({ ...response, member: this.#readMember(connection, response.member) }, response.members, sentAt)
      if (delegate !== undefined && response.delegated !== undefined) budgets.handleRenewalResponse(delegate, response.delegated, sentAt)
    } catch (error) {
      const reason = String((error as { details?: { reason?: unknown } }).details?.reason ?? '')
      if (member !== undefined && reason.includes('ECONNREFUSED')) this.#recordConnectionRefusal(member.incarnation)
    }
  }

  #handleResponse (response: HeartbeatContent, members: FleetMember[] | undefined, sentAt: number): void {
    const { clock, view, shareTable, handleResponse } = this.#options
    const now = clock.readTime()
    if (view.recordHeartbeat(response.member, now)) this.#options.handleChange()
    shareTable.recordHeartbeatResponse({ ...createShareRow(response.member), tableVersion: response.shareTableVersion, sentAt }, now)
    if (members !== undefined) this.#addAddressHints(members)
    handleResponse(response, sentAt)
  }

  #recordConnectionRefusal (incarnation: string): void {
    this.#options.view.recordConnectionRefusal(incarnation)
    this.#options.handleChange()
  }

  #addAddressHints (members: FleetMember[]): void {
    const known = this.#addressHints.map(({ host, port }) => `${host}:${port}`)
    const added = members.map(({ addresses }) => addresses.control).filter(({ host, port }) => !known.includes(`${host}:${port}`))
    this.#addressHints = [...this.#addressHints, ...added].slice(-ADDRESS_HINT_LIMIT)
  }

  #readMember (connection: PeerConnection, received: FleetMember | undefined): FleetMember {
    const member = received ?? this.#receivedMembers.get(connection)
    if (member === undefined) throw TanagerusherError.create('protocol-violation', { details: { reason: 'the first heartbeat of a connection names no member' } })
    this.#receivedMembers.set(connection, member)
    return member
  }

  #createContent (connection: PeerConnection): Pick<MembershipHeartbeatResult, 'member' | 'shareTableVersion' | 'digest' | 'storeAgeMs'> {
    const { view, shareTable, describeConfiguration } = this.#options
    const isUnchanged = this.#sentMembers.get(connection) === view.self
    this.#sentMembers.set(connection, view.self)
    return { ...(isUnchanged ? {} : { member: view.self }), shareTableVersion: shareTable.version, ...describeConfiguration() }
  }
}
