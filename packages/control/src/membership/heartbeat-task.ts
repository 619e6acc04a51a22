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
  /** Addresses from the settings, to find the fleet. */
  seeds: readonly PeerAddress[]
  budgets: Pick<BudgetTask, 'takeRenewal' | 'delegate' | 'handleRenewalAnswer'>
  describeSelf: () => Pick<MembershipHeartbeatResult, 'digest' | 'storeAgeMs'>
  handleAnswer: (answer: HeartbeatContent, sentAt: number) => void
  /** Called after each round. */
  handleRound: () => void
  /** A host came, went or changed its state. */
  handleChange: () => void
}

/** Each host hears every other one twice in this time: by its heartbeat and by the answer to the own one. */
const INTERVAL_MS = 1000
const TIMEOUT_MS = 1500
/** Rounds between two questions for the hosts that a peer knows. */
const MEMBERS_EVERY = 10
/** Old addresses are dropped first; a host that lives is a member and needs no hint. */
const HINT_LIMIT = 64

/** Sends heartbeats to the other controls every second and answers theirs. */
export class HeartbeatTask {
  readonly #options: CreateOptions
  /** Own member as last sent, and the peer's as last received, over each connection. */
  readonly #sent = new WeakMap<PeerConnection, FleetMember>()
  readonly #received = new WeakMap<PeerConnection, FleetMember>()
  #hints: PeerAddress[] = []
  #timer: NodeJS.Timeout | undefined
  #rounds = 0

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): HeartbeatTask {
    return new HeartbeatTask(options)
  }

  start (): void {
    this.#timer = setInterval(() => { this.#runRound() }, INTERVAL_MS)
    this.#runRound()
  }

  close (): void {
    clearInterval(this.#timer)
  }

  /** Sends one round at once, as when the own state changed. */
  announce (): void {
    this.#runRound()
  }

  /** Addresses from the platform's late list: whom to contact, nothing more. */
  updateHints (hints: PeerAddress[]): void {
    this.#hints = hints
  }

  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(membershipHeartbeat, async (params) => this.#answer(connection, params))
  }

  #answer (connection: PeerConnection, params: MembershipHeartbeatParams): MembershipHeartbeatResult {
    const { clock, view, shareTable } = this.#options
    const { wantMembers, shareTableVersion, delegate } = params
    const member = this.#readMember(connection, params.member)
    const now = clock.readTime()
    if (view.recordHeartbeat(member, now)) this.#options.handleChange()
    shareTable.recordTableVersion(createShareRow(member), shareTableVersion, now)
    return {
      ...this.#describe(connection),
      ...(delegate === undefined ? {} : { delegated: this.#options.budgets.delegate(delegate) }),
      ...(wantMembers ? { members: view.listMembers(now).slice(1) } : {})
    }
  }

  #runRound (): void {
    const { clock, view, handleRound } = this.#options
    const wantMembers = this.#rounds++ % MEMBERS_EVERY < 2
    const addresses = new Map<string, { address: PeerAddress, member?: FleetMember }>()
    const own = view.self.addresses.control
    for (const address of [...this.#options.seeds, ...this.#hints]) addresses.set(`${address.host}:${address.port}`, { address })
    for (const member of view.listMembers(clock.readTime()).slice(1)) {
      const address = member.addresses.control
      addresses.set(`${address.host}:${address.port}`, { address, member })
    }
    addresses.delete(`${own.host}:${own.port}`)
    for (const { address, member } of addresses.values()) void this.#send(address, member, wantMembers)
    handleRound()
  }

  async #send (address: PeerAddress, member: FleetMember | undefined, wantMembers: boolean): Promise<void> {
    const { clock, links, budgets } = this.#options
    try {
      const connection = await links.connect(address)
      const sentAt = clock.readTime()
      const delegate = member === undefined ? undefined : budgets.takeRenewal(member.incarnation)
      const params = { ...this.#describe(connection), ...(wantMembers ? { wantMembers } : {}), ...(delegate === undefined ? {} : { delegate }) }
      const answer = await connection.request(membershipHeartbeat, params, TIMEOUT_MS)
      this.#handleAnswer({ ...answer, member: this.#readMember(connection, answer.member) }, answer.members, sentAt)
      if (delegate !== undefined && answer.delegated !== undefined) budgets.handleRenewalAnswer(delegate, answer.delegated, sentAt)
    } catch (error) {
      const reason = String((error as { details?: { reason?: unknown } }).details?.reason ?? '')
      if (member !== undefined && reason.includes('ECONNREFUSED')) this.#recordRefusal(member.incarnation)
    }
  }

  #handleAnswer (answer: HeartbeatContent, members: FleetMember[] | undefined, sentAt: number): void {
    const { clock, view, shareTable, handleAnswer } = this.#options
    const now = clock.readTime()
    if (view.recordHeartbeat(answer.member, now)) this.#options.handleChange()
    shareTable.recordHeartbeatResponse({ ...createShareRow(answer.member), tableVersion: answer.shareTableVersion, sentAt }, now)
    if (members !== undefined) this.#addHints(members)
    handleAnswer(answer, sentAt)
  }

  #recordRefusal (incarnation: string): void {
    this.#options.view.recordConnectionRefusal(incarnation)
    this.#options.handleChange()
  }

  #addHints (members: FleetMember[]): void {
    const known = this.#hints.map(({ host, port }) => `${host}:${port}`)
    const added = members.map(({ addresses }) => addresses.control).filter(({ host, port }) => !known.includes(`${host}:${port}`))
    this.#hints = [...this.#hints, ...added].slice(-HINT_LIMIT)
  }

  #readMember (connection: PeerConnection, received: FleetMember | undefined): FleetMember {
    const member = received ?? this.#received.get(connection)
    if (member === undefined) throw TanagerusherError.create('protocol-violation', { details: { reason: 'the first heartbeat of a connection names no member' } })
    this.#received.set(connection, member)
    return member
  }

  #describe (connection: PeerConnection): Pick<MembershipHeartbeatResult, 'member' | 'shareTableVersion' | 'digest' | 'storeAgeMs'> {
    const { view, shareTable, describeSelf } = this.#options
    const isKnown = this.#sent.get(connection) === view.self
    this.#sent.set(connection, view.self)
    return { ...(isKnown ? {} : { member: view.self }), shareTableVersion: shareTable.version, ...describeSelf() }
  }
}
