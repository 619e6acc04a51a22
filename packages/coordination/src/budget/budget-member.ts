import { BudgetHome } from './budget-home.js'
import { computePartition } from './compute-partition.js'
import { ShareDelegator } from './share-delegator.js'
import { listPartitionHomes } from './list-partition-homes.js'
import type { ShareTable } from './share-table.js'

interface Member { host: string, incarnation: string }

interface OutstandingTokens { organisation: string, tokens: number }

interface DelegateParams { home: string, sequence: number, partitions: number[] }

interface DelegateResponse { incarnation: string, fraction: number, validMs: number, partitions: number[] }

interface ReleaseParams { home: string, sequence: number, partitions: number[], next?: string | undefined }

/** Messages to the control processes of other hosts. The caller passes the responses to `delegate` and `hand-over` to the methods below. */
export type BudgetEffect =
  /** A renewal may be sent with the next heartbeat to the host. */
  | { type: 'delegate', to: string, params: DelegateParams, isRenewal: boolean }
  | { type: 'hand-over', handOverId: number, toHost: string, outstanding: OutstandingTokens[] }
  | { type: 'release', to: string, params: ReleaseParams }

interface HandOver { partitions: number[], sequence: number, waitUntil: number }

interface CreateOptions {
  self: Member
  shareTable: ShareTable
  grantValidMs?: number
}

const RENEWAL_INTERVAL_MS = 500
const CLOCK_MARGIN = 0.05

/**
 * The role of one host in the budgets: delegates its own share, is the budget home of some partitions, and hands partitions
 * over when the members change. `tick` must be called every 200 ms.
 */
export class BudgetMember {
  readonly home: BudgetHome
  readonly #self: Member
  readonly #shareTable: ShareTable
  readonly #delegation = ShareDelegator.create({ clockMargin: CLOCK_MARGIN })
  readonly #grantExpiryMs: number
  #hostByIncarnation = new Map<string, string>()
  #homes: Array<string | undefined> = []
  #hostsKey = ''
  #ownPartitions: number[] = []
  #sequence = 0
  #renewedAt = -Infinity
  /** Partitions that a host of the share table did not delegate in its last response, by incarnation; requested again at every tick. */
  readonly #missingPartitions = new Map<string, Set<number>>()
  readonly #handOvers = new Map<number, HandOver>()
  #lastHandOverId = 0

  private constructor ({ self, shareTable, grantValidMs = 1000 }: CreateOptions) {
    this.#self = self
    this.#shareTable = shareTable
    this.#grantExpiryMs = grantValidMs * (1 + CLOCK_MARGIN)
    this.home = BudgetHome.create({ incarnation: self.incarnation, grantValidMs, clockMargin: CLOCK_MARGIN })
  }

  static create (options: CreateOptions): BudgetMember {
    return new BudgetMember(options)
  }

  /** Partitions whose budget home is this host. */
  get partitions (): readonly number[] { return this.#ownPartitions }

  /** Number of hand-overs in progress. */
  get pendingHandOvers (): number { return this.#handOvers.size }

  /** Returns the budget home of an organisation; undefined when no host is serving. */
  findHome (organisation: string): string | undefined {
    return this.#homes[computePartition(organisation)]
  }

  /** Sets the serving hosts and hands over partitions that now belong to another host. */
  updateMembers (serving: readonly Member[], now: number): BudgetEffect[] {
    this.#hostByIncarnation = new Map(serving.map(({ host, incarnation }) => [incarnation, host]))
    const hosts = [...new Set(this.#hostByIncarnation.values())].sort()
    if (hosts.join() === this.#hostsKey) return []
    this.#hostsKey = hosts.join()
    this.#homes = listPartitionHomes(hosts)
    const own = this.#homes.flatMap((host, partition) => host === this.#self.host ? [partition] : [])
    const lost = this.#ownPartitions.filter((partition) => !own.includes(partition))
    this.#ownPartitions = own
    this.#renewedAt = -Infinity
    return lost.length === 0 ? [] : this.#startHandOvers(lost, now)
  }

  /** Requests the shares that are due and ends hand-overs whose grants have expired. */
  tick (now: number): BudgetEffect[] {
    const effects = [...this.#handOvers].flatMap(([id, handOver]) => handOver.waitUntil <= now ? this.#endHandOver(id, undefined) : [])
    const isDue = now - this.#renewedAt >= RENEWAL_INTERVAL_MS
    const isRenewal = isDue && this.#renewedAt !== -Infinity
    if (isDue) this.#renewedAt = now
    const rows = this.#shareTable.value?.hosts ?? []
    for (const { incarnation } of rows) {
      const missing = this.#ownPartitions.filter((partition) => this.#missingPartitions.get(incarnation)?.has(partition))
      const partitions = isDue ? this.#ownPartitions : missing
      const params = { home: this.#self.incarnation, sequence: this.#sequence + 1, partitions: [...partitions] }
      if (partitions.length === 0) continue
      this.#sequence++
      effects.push({ type: 'delegate', to: incarnation, params, isRenewal: isRenewal && missing.length === 0 })
    }
    for (const incarnation of this.#missingPartitions.keys()) if (!rows.some((row) => row.incarnation === incarnation)) this.#missingPartitions.delete(incarnation)
    return effects
  }

  /** Handles the response to a `delegate` request that was sent at `sentAt`. */
  handleDelegateResponse (requested: readonly number[], { incarnation, fraction, validMs, partitions }: DelegateResponse, sentAt: number, now: number): void {
    const kept = partitions.filter((partition) => this.#ownPartitions.includes(partition))
    if (fraction > 0) this.home.addDelegation({ delegator: incarnation, partitions: kept, fraction, validMs, sentAt }, now)
    this.#missingPartitions.set(incarnation, new Set(requested.filter((partition) => !partitions.includes(partition))))
  }

  /** Delegates the share of this host to a budget home, which may be on this host. */
  delegate ({ home, sequence, partitions }: DelegateParams, now: number): DelegateResponse {
    const { fraction, validMs } = this.#shareTable.readShare(now)
    const host = this.#hostByIncarnation.get(home)
    const response = this.#delegation.delegate({
      home, sequence, partitions, shareValidMs: validMs, isPreferred: (partition) => host !== undefined && this.#homes[partition] === host
    }, now)
    return { incarnation: this.#self.incarnation, fraction, ...response }
  }

  release (params: ReleaseParams): void {
    this.#delegation.release(params)
  }

  /** Handles the response to a hand-over: `next` is the incarnation of the home that recorded the tokens, undefined without a response. */
  handleHandOverResponse (handOverId: number, next: string | undefined): BudgetEffect[] {
    return next === undefined ? [] : this.#endHandOver(handOverId, next)
  }

  /** Stops granting from the partitions and creates one hand-over for each next home. */
  #startHandOvers (partitions: number[], now: number): BudgetEffect[] {
    const outstanding = this.home.releasePartitions(partitions, now)
    const byHost = new Map<string, number[]>()
    for (const partition of partitions) {
      const host = this.#homes[partition] ?? ''
      byHost.set(host, [...byHost.get(host) ?? [], partition])
    }
    return [...byHost].flatMap(([host, moved]) => {
      const tokens = outstanding.filter(({ organisation }) => moved.includes(computePartition(organisation)))
      const handOverId = ++this.#lastHandOverId
      this.#handOvers.set(handOverId, { partitions: moved, sequence: this.#sequence, waitUntil: now + this.#grantExpiryMs })
      return tokens.length === 0 ? this.#endHandOver(handOverId, undefined) : [{ type: 'hand-over', handOverId, toHost: host, outstanding: tokens } satisfies BudgetEffect]
    })
  }

  #endHandOver (handOverId: number, next: string | undefined): BudgetEffect[] {
    const handOver = this.#handOvers.get(handOverId)
    if (handOver === undefined) return []
    this.#handOvers.delete(handOverId)
    const { partitions, sequence } = handOver
    const params: ReleaseParams = { home: this.#self.incarnation, sequence, partitions, ...(next === undefined ? {} : { next }) }
    return (this.#shareTable.value?.hosts ?? []).map(({ incarnation }) => ({ type: 'release', to: incarnation, params }))
  }
}
