import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import { BudgetHome } from '@tanagerusher/coordination/budget/budget-home'
import { computePartition } from '@tanagerusher/coordination/budget/compute-partition'
import { Delegation } from '@tanagerusher/coordination/budget/delegation'
import { listPartitionHomes } from '@tanagerusher/coordination/budget/list-partition-homes'
import type { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import type { ConfigurationReplica } from '@tanagerusher/coordination/configuration/configuration-replica'
import { budgetDelegate, type BudgetDelegateParams, type BudgetDelegateResult } from '@tanagerusher/protocol/peer/budget-delegate'
import { budgetHandOver } from '@tanagerusher/protocol/peer/budget-hand-over'
import { budgetRelease } from '@tanagerusher/protocol/peer/budget-release'
import { budgetRequest, type BudgetRequestParams, type BudgetRequestResult } from '@tanagerusher/protocol/peer/budget-request'
import { budgetReturn } from '@tanagerusher/protocol/peer/budget-return'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { PeerLinks } from '../peer/peer-links.js'

interface CreateOptions {
  clock: Clock
  links: PeerLinks
  view: MembershipView
  shareTable: ShareTable
}

const RENEW_EVERY_MS = 1000
/** A partition whose former home still holds it is asked for again soon, so that its tokens are missing briefly. */
const RETRY_EVERY_MS = 200
const REQUEST_TIMEOUT_MS = 500
const NO_BUDGET_RETRY_MS = 100
/** Grants of this host have lapsed everywhere by then: their validity and the clock margin. */
const GRANTS_LAPSE_MS = 1100

/** Budgets of this host: delegates its own share, keeps the partitions it is home of, passes requests on to the homes. */
export class BudgetTask {
  readonly #options: CreateOptions
  readonly #delegation = Delegation.create()
  readonly #home: BudgetHome
  readonly #organisations = new Set<string>()
  #homes: Array<string | undefined> = []
  #homesKey = ''
  #own: number[] = []
  #sequence = 0
  /** Partitions that some host of the table has not delegated at its last answer. */
  readonly #missing = new Map<string, Set<number>>()
  readonly #releases = new Set<Promise<void>>()
  #renewedAt = -Infinity
  #timer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#home = BudgetHome.create({ incarnation: options.view.self.incarnation })
  }

  static create (options: CreateOptions): BudgetTask {
    return new BudgetTask(options)
  }

  start (): void {
    this.#timer = setInterval(() => { this.#tick() }, RETRY_EVERY_MS)
  }

  /** Partitions that this host is home of. */
  get partitions (): readonly number[] { return this.#own }

  prepareConnection (connection: PeerConnection): void {
    connection.addMethod(budgetRequest, async (params) => await this.#handleRequest(connection, params))
    connection.addMethod(budgetReturn, async ({ organisation, grantId, tokens }) => await this.#handleReturn(organisation, grantId, tokens))
    connection.addMethod(budgetDelegate, async (params) => this.#delegate(params))
    connection.addMethod(budgetRelease, async (params) => {
      this.#delegation.release(params)
      return {}
    })
    connection.addMethod(budgetHandOver, async ({ outstanding }) => {
      if (!this.#home.addForeignGrants(outstanding, this.#readTime())) throw new Error('an organisation is not known here yet')
      return {}
    })
  }

  /** Takes rates and bursts from the configuration. */
  updateConfiguration (replica: ConfigurationReplica): void {
    const now = this.#readTime()
    const organisations = replica.list('organisation')
    const names = new Set(organisations.map(({ name }) => name))
    for (const name of this.#organisations) if (!names.has(name)) this.#home.updateLimits(name, undefined, now)
    this.#organisations.clear()
    for (const { name, value } of organisations) {
      this.#organisations.add(name)
      this.#home.updateLimits(name, value, now)
    }
  }

  /** Computes the homes again. Partitions that now belong to another host are handed over. */
  updateMembers (): void {
    const { view, clock } = this.#options
    const hosts = view.listServing(clock.readTime()).map(({ host }) => host).sort()
    const key = hosts.join()
    if (key === this.#homesKey) return
    this.#homesKey = key
    this.#homes = listPartitionHomes(hosts)
    const own = this.#homes.flatMap((host, partition) => host === view.self.host ? [partition] : [])
    const lost = this.#own.filter((partition) => !own.includes(partition))
    this.#own = own
    this.#renewedAt = -Infinity
    if (lost.length > 0) this.#handOver(lost)
  }

  /** Waits until the partitions that were given up are with their next homes. */
  async finishHandOver (): Promise<void> {
    await Promise.all(this.#releases)
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #tick (): void {
    const now = this.#readTime()
    const isDue = now - this.#renewedAt >= RENEW_EVERY_MS
    if (isDue) this.#renewedAt = now
    if (this.#own.length === 0) return
    const rows = this.#options.shareTable.value?.hosts ?? []
    for (const { incarnation } of rows) {
      const partitions = isDue ? this.#own : this.#own.filter((partition) => this.#missing.get(incarnation)?.has(partition))
      if (partitions.length > 0) void this.#askForShare(incarnation, partitions)
    }
    if (isDue) for (const incarnation of this.#missing.keys()) if (!rows.some((row) => row.incarnation === incarnation)) this.#missing.delete(incarnation)
  }

  async #askForShare (incarnation: string, partitions: readonly number[]): Promise<void> {
    const { view, links } = this.#options
    const params = { home: view.self.incarnation, sequence: ++this.#sequence, partitions: [...partitions] }
    const sentAt = this.#readTime()
    if (incarnation === view.self.incarnation) {
      this.#takeDelegation(this.#delegate(params), partitions, sentAt)
      return
    }
    const member = this.#findMember(incarnation)
    if (member === undefined) return
    try {
      const connection = await links.connect(member.addresses.control)
      this.#takeDelegation(await connection.request(budgetDelegate, params, REQUEST_TIMEOUT_MS), partitions, sentAt)
    } catch {
      // The next round asks again; what was delegated before runs on until it lapses.
    }
  }

  #takeDelegation ({ incarnation, fraction, validMs, partitions }: BudgetDelegateResult, asked: readonly number[], sentAt: number): void {
    const now = this.#readTime()
    const kept = partitions.filter((partition) => this.#own.includes(partition))
    if (fraction > 0) this.#home.addDelegation({ delegator: incarnation, partitions: kept, fraction, validMs, sentAt }, now)
    this.#missing.set(incarnation, new Set(asked.filter((partition) => !partitions.includes(partition))))
  }

  #delegate ({ home, sequence, partitions }: BudgetDelegateParams): BudgetDelegateResult {
    const { view, shareTable } = this.#options
    const now = this.#readTime()
    const { fraction, validMs } = shareTable.readShare(now)
    const host = this.#findMember(home)?.host
    const answer = this.#delegation.delegate({
      home, sequence, partitions, shareValidMs: validMs, isPreferred: (partition) => host !== undefined && this.#homes[partition] === host
    }, now)
    return { incarnation: view.self.incarnation, fraction, ...answer }
  }

  async #handleRequest (connection: PeerConnection, params: BudgetRequestParams): Promise<BudgetRequestResult> {
    const { role, incarnation } = await connection.remoteHello
    const holder = params.holder ?? incarnation
    const host = this.#homes[computePartition(params.organisation)]
    if (host === this.#options.view.self.host) return { ...this.#home.request({ ...params, holder }, this.#readTime()) }
    if (role !== 'control' && host !== undefined) return await this.#passOn(host, { ...params, holder })
    return createEmptyAnswer()
  }

  async #passOn (host: string, params: BudgetRequestParams): Promise<BudgetRequestResult> {
    const member = this.#options.view.listMembers(this.#readTime()).find((candidate) => candidate.host === host)
    if (member === undefined) return createEmptyAnswer()
    const connection = await this.#options.links.connect(member.addresses.control)
    return await connection.request(budgetRequest, params, REQUEST_TIMEOUT_MS)
  }

  async #handleReturn (organisation: string, grantId: string, tokens: number): Promise<Record<string, never>> {
    const incarnation = grantId.slice(0, grantId.lastIndexOf('/'))
    if (incarnation === this.#options.view.self.incarnation) this.#home.returnGrant(organisation, grantId, tokens, this.#readTime())
    else {
      const member = this.#findMember(incarnation)
      if (member !== undefined) await (await this.#options.links.connect(member.addresses.control)).request(budgetReturn, { organisation, grantId, tokens }, REQUEST_TIMEOUT_MS)
    }
    return {}
  }

  #handOver (partitions: number[]): void {
    const release = this.#release(partitions).finally(() => this.#releases.delete(release))
    this.#releases.add(release)
  }

  /** Releases the delegations once the next homes know what is out in grants, or once all grants have lapsed. */
  async #release (partitions: number[]): Promise<void> {
    const sequence = this.#sequence
    const outstanding = this.#home.releasePartitions(partitions, this.#readTime())
    const byHost = new Map<string, number[]>()
    for (const partition of partitions) {
      const host = this.#homes[partition] ?? ''
      byHost.set(host, [...byHost.get(host) ?? [], partition])
    }
    await Promise.all([...byHost].map(async ([host, moved]) => {
      const tokens = outstanding.filter(({ organisation }) => moved.includes(computePartition(organisation)))
      const next = tokens.length === 0 ? undefined : await this.#tellNextHome(host, tokens)
      if (tokens.length > 0 && next === undefined) await new Promise((resolve) => setTimeout(resolve, GRANTS_LAPSE_MS))
      await this.#sendRelease(sequence, moved, next)
    }))
  }

  /** Incarnation of the next home when it has taken the tokens into account; undefined otherwise. */
  async #tellNextHome (host: string, outstanding: Array<{ organisation: string, tokens: number }>): Promise<string | undefined> {
    const member = this.#options.view.listMembers(this.#readTime()).find((candidate) => candidate.host === host)
    if (member === undefined) return undefined
    try {
      const connection = await this.#options.links.connect(member.addresses.control)
      await connection.request(budgetHandOver, { outstanding }, REQUEST_TIMEOUT_MS)
      return (await connection.remoteHello).incarnation
    } catch {
      return undefined
    }
  }

  async #sendRelease (sequence: number, partitions: number[], next: string | undefined): Promise<void> {
    const home = this.#options.view.self.incarnation
    const params = { home, sequence, partitions, ...(next === undefined ? {} : { next }) }
    await Promise.all((this.#options.shareTable.value?.hosts ?? []).map(async ({ incarnation }) => {
      if (incarnation === home) {
        this.#delegation.release(params)
        return
      }
      const member = this.#findMember(incarnation)
      if (member === undefined) return
      try {
        await (await this.#options.links.connect(member.addresses.control)).request(budgetRelease, params, REQUEST_TIMEOUT_MS)
      } catch {
        // A release that is lost costs the rest of the delegation's validity, nothing else.
      }
    }))
  }

  #findMember (incarnation: string): FleetMember | undefined {
    return this.#options.view.listMembers(this.#readTime()).find((member) => member.incarnation === incarnation)
  }

  #readTime (): number {
    return this.#options.clock.readTime()
  }
}

function createEmptyAnswer (): BudgetRequestResult {
  return { grantId: '', tokens: 0, validMs: 0, retryAfterMs: NO_BUDGET_RETRY_MS }
}
