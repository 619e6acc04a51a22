import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import { BudgetMember, type BudgetEffect } from '@tanagerusher/coordination/budget/budget-member'
import type { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { budgetDelegate, type BudgetDelegateParams as DelegateParams } from '@tanagerusher/protocol/peer/budget-delegate'
import { budgetHandOver } from '@tanagerusher/protocol/peer/budget-hand-over'
import { budgetRelease } from '@tanagerusher/protocol/peer/budget-release'
import { budgetRequest, type BudgetRequestParams, type BudgetRequestResult } from '@tanagerusher/protocol/peer/budget-request'
import { budgetReturn } from '@tanagerusher/protocol/peer/budget-return'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { z } from 'zod'
import type { PeerLinks } from '../peer/peer-links.js'

interface CreateOptions {
  clock: Clock
  links: PeerLinks
  view: MembershipView
  shareTable: ShareTable
}

const TICK_INTERVAL_MS = 200
const REQUEST_TIMEOUT_MS = 500
const NO_HOME_RETRY_MS = 100
const HAND_OVER_CHECK_INTERVAL_MS = 20

/** Sends the messages that `BudgetMember` returns, and forwards the requests of entries to the budget homes. */
export class BudgetTask {
  readonly #options: CreateOptions
  readonly #member: BudgetMember
  readonly #organisations = new Set<string>()
  readonly #pendingRenewals = new Map<string, DelegateParams>()
  #timer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#member = BudgetMember.create({ self: options.view.self, shareTable: options.shareTable })
  }

  static create (options: CreateOptions): BudgetTask {
    return new BudgetTask(options)
  }

  /** Partitions whose budget home is this host. */
  get partitions (): readonly number[] { return this.#member.partitions }

  start (): void {
    this.#timer = setInterval(() => { this.#sendEffects(this.#member.tick(this.#readTime())) }, TICK_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(budgetRequest, async (params) => await this.#handleRequest(connection, params))
    connection.addMethod(budgetReturn, async ({ organisation, grantId, tokens }) => await this.#handleReturn(organisation, grantId, tokens))
    connection.addMethod(budgetDelegate, async (params) => this.delegate(params))
    connection.addMethod(budgetRelease, async (params) => {
      this.#member.release(params)
      return {}
    })
    connection.addMethod(budgetHandOver, async ({ outstanding }) => {
      if (!this.#member.home.addPreviousHomeGrants(outstanding, this.#readTime())) throw new Error('an organisation is not known here yet')
      return {}
    })
  }

  /** Removes and returns the renewal of delegations to send with the next heartbeat to a host; undefined when none is due. */
  takeRenewal (incarnation: string): DelegateParams | undefined {
    const params = this.#pendingRenewals.get(incarnation)
    this.#pendingRenewals.delete(incarnation)
    return params
  }

  /** Delegates the share of this host to a budget home. A renewal is received with a heartbeat. */
  delegate (params: DelegateParams): z.infer<typeof budgetDelegate.result> {
    return { ...this.#member.delegate(params, this.#readTime()) }
  }

  /** Handles the response to a renewal that was sent with a heartbeat at `sentAt`. */
  handleRenewalResponse (params: DelegateParams, response: z.infer<typeof budgetDelegate.result>, sentAt: number): void {
    this.#member.handleDelegateResponse(params.partitions, response, sentAt, this.#readTime())
  }

  /** Applies the rates and bursts of the configuration. */
  updateConfiguration (replica: ConfigurationReplica): void {
    const now = this.#readTime()
    const organisations = replica.list('organisation')
    const names = new Set(organisations.map(({ name }) => name))
    for (const name of this.#organisations) if (!names.has(name)) this.#member.home.updateLimits(name, undefined, now)
    this.#organisations.clear()
    for (const { name, value } of organisations) {
      this.#organisations.add(name)
      this.#member.home.updateLimits(name, value, now)
    }
  }

  updateMembers (): void {
    const now = this.#readTime()
    this.#sendEffects(this.#member.updateMembers(this.#options.view.listServing(now), now))
  }

  /** Waits until the next homes have taken over the released partitions, or the grants from these partitions have expired. */
  async waitForHandOvers (): Promise<void> {
    while (this.#member.pendingHandOvers > 0) await new Promise((resolve) => setTimeout(resolve, HAND_OVER_CHECK_INTERVAL_MS))
  }

  #sendEffects (effects: BudgetEffect[]): void {
    for (const effect of effects) {
      // A lost message causes a delay but no excess grants, because delegations expire.
      this.#sendEffect(effect).catch(() => {})
    }
  }

  async #sendEffect (effect: BudgetEffect): Promise<void> {
    if (effect.type === 'delegate' && effect.isRenewal && effect.to !== this.#options.view.self.incarnation) this.#pendingRenewals.set(effect.to, { ...effect.params })
    else if (effect.type === 'delegate') await this.#requestDelegation(effect)
    else if (effect.type === 'hand-over') await this.#sendHandOver(effect)
    else if (effect.to === this.#options.view.self.incarnation) this.#member.release(effect.params)
    else await (await this.#connect(this.#findByIncarnation(effect.to)))?.request(budgetRelease, { ...effect.params }, REQUEST_TIMEOUT_MS)
  }

  async #requestDelegation ({ to, params }: Extract<BudgetEffect, { type: 'delegate' }>): Promise<void> {
    const connection = to === this.#options.view.self.incarnation ? undefined : await this.#connect(this.#findByIncarnation(to))
    const sentAt = this.#readTime()
    const response = to === this.#options.view.self.incarnation
      ? this.#member.delegate(params, sentAt)
      : await connection?.request(budgetDelegate, { ...params }, REQUEST_TIMEOUT_MS)
    if (response !== undefined) this.#member.handleDelegateResponse(params.partitions, response, sentAt, this.#readTime())
  }

  async #sendHandOver ({ handOverId, toHost, outstanding }: Extract<BudgetEffect, { type: 'hand-over' }>): Promise<void> {
    const connection = await this.#connect(this.#findByHost(toHost))
    if (connection === undefined) return
    await connection.request(budgetHandOver, { outstanding }, REQUEST_TIMEOUT_MS)
    this.#sendEffects(this.#member.handleHandOverResponse(handOverId, (await connection.remoteHello).incarnation))
  }

  async #handleRequest (connection: PeerConnection, params: BudgetRequestParams): Promise<BudgetRequestResult> {
    const { role, incarnation } = await connection.remoteHello
    const request = { ...params, holder: params.holder ?? incarnation }
    const homeHost = this.#member.findHome(params.organisation)
    if (homeHost === this.#options.view.self.host) return { ...this.#member.home.request(request, this.#readTime()) }
    const homeConnection = role === 'control' || homeHost === undefined ? undefined : await this.#connect(this.#findByHost(homeHost))
    return await homeConnection?.request(budgetRequest, request, REQUEST_TIMEOUT_MS) ?? { grantId: '', tokens: 0, validMs: 0, retryAfterMs: NO_HOME_RETRY_MS }
  }

  async #handleReturn (organisation: string, grantId: string, tokens: number): Promise<Record<string, never>> {
    const incarnation = grantId.slice(0, grantId.lastIndexOf('/'))
    if (incarnation === this.#options.view.self.incarnation) this.#member.home.returnGrant(organisation, grantId, tokens, this.#readTime())
    else await (await this.#connect(this.#findByIncarnation(incarnation)))?.request(budgetReturn, { organisation, grantId, tokens }, REQUEST_TIMEOUT_MS)
    return {}
  }

  async #connect (member: FleetMember | undefined): Promise<PeerConnection | undefined> {
    return member === undefined ? undefined : await this.#options.links.connect(member.addresses.control)
  }

  #findByIncarnation (incarnation: string): FleetMember | undefined {
    return this.#options.view.listMembers(this.#readTime()).find((member) => member.incarnation === incarnation)
  }

  #findByHost (host: string): FleetMember | undefined {
    return this.#options.view.listMembers(this.#readTime()).find((member) => member.host === host)
  }

  #readTime (): number {
    return this.#options.clock.readTime()
  }
}
