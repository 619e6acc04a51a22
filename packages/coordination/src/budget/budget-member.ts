import { BudgetHome } from './budget-home.js'
import { computePartition } from './compute-partition.js'
import { Delegation } from './delegation.js'
import { listPartitionHomes } from './list-partition-homes.js'
import type { ShareTable } from './share-table.js'

interface Member { host: string, incarnation: string }

interface OutstandingTokens { organisation: string, tokens: number }

interface DelegateParams { home: string, sequence: number, partitions: number[] }

interface DelegateAnswer { incarnation: string, fraction: number, validMs: number, partitions: number[] }

interface ReleaseParams { home: string, sequence: number, partitions: number[], next?: string | undefined }

/** Messages to other hosts' controls. Answers to `delegate` and `hand-over` come back as calls. */
export type BudgetEffect =
  /** A renewal may wait for the next heartbeat to the host. */
  | { type: 'delegate', to: string, params: DelegateParams, isRenewal: boolean }
  | { type: 'hand-over', handOverId: number, toHost: string, outstanding: OutstandingTokens[] }
  | { type: 'release', to: string, params: ReleaseParams }

interface HandOver { partitions: number[], sequence: number, waitUntil: number }

interface CreateOptions {
  self: Member
  shareTable: ShareTable
  grantValidMs?: number
}

const RENEW_EVERY_MS = 500
const CLOCK_MARGIN = 0.05

/**
 * One host's part in the budgets: it delegates its own share, is home of some partitions, and hands partitions over when
 * the members change. Call `tick` every 200 ms.
 */
export class BudgetMember {
  readonly home: BudgetHome
  readonly #self: Member
  readonly #shareTable: ShareTable
  readonly #delegation = Delegation.create({ clockMargin: CLOCK_MARGIN })
  readonly #grantsLapseMs: number
  #members = new Map<string, string>()
  #homes: Array<string | undefined> = []
  #membersKey = ''
  #own: number[] = []
  #sequence = 0
  #renewedAt = -Infinity
  /** Partitions that a host of the table did not delegate at its last answer; they are asked for at every tick. */
  readonly #missing = new Map<string, Set<number>>()
  readonly #handOvers = new Map<number, HandOver>()
  #handOverIds = 0

  private constructor ({ self, shareTable, grantValidMs = 1000 }: CreateOptions) {
    this.#self = self
    this.#shareTable = shareTable
    this.#grantsLapseMs = grantValidMs * (1 + CLOCK_MARGIN)
    this.home = BudgetHome.create({ incarnation: self.incarnation, grantValidMs, clockMargin: CLOCK_MARGIN })
  }

  static create (options: CreateOptions): BudgetMember {
    return new BudgetMember(options)
  }

  /** Partitions that this host is home of. */
  get partitions (): readonly number[] { return this.#own }

  /** Hand-overs that have not ended. */
  get handOvers (): number { return this.#handOvers.size }

  /** Host that is home for an organisation; undefined when no host serves. */
  findHome (organisation: string): string | undefined {
    return this.#homes[computePartition(organisation)]
  }

  /** Takes the hosts that serve. Partitions that now belong to another host are handed over. */
  updateMembers (serving: readonly Member[], now: number): BudgetEffect[] {
    this.#members = new Map(serving.map(({ host, incarnation }) => [incarnation, host]))
    const hosts = [...new Set(this.#members.values())].sort()
    if (hosts.join() === this.#membersKey) return []
    this.#membersKey = hosts.join()
    this.#homes = listPartitionHomes(hosts)
    const own = this.#homes.flatMap((host, partition) => host === this.#self.host ? [partition] : [])
    const lost = this.#own.filter((partition) => !own.includes(partition))
    this.#own = own
    this.#renewedAt = -Infinity
    return lost.length === 0 ? [] : this.#startHandOvers(lost, now)
  }

  /** Asks for shares that are due and ends hand-overs whose grants have lapsed. */
  tick (now: number): BudgetEffect[] {
    const effects = [...this.#handOvers].flatMap(([id, handOver]) => handOver.waitUntil <= now ? this.#endHandOver(id, undefined) : [])
    const isDue = now - this.#renewedAt >= RENEW_EVERY_MS
    const isRenewal = isDue && this.#renewedAt !== -Infinity
    if (isDue) this.#renewedAt = now
    const rows = this.#shareTable.value?.hosts ?? []
    for (const { incarnation } of rows) {
      const missing = this.#own.filter((partition) => this.#missing.get(incarnation)?.has(partition))
      const partitions = isDue ? this.#own : missing
      const params = { home: this.#self.incarnation, sequence: this.#sequence + 1, partitions: [...partitions] }
      if (partitions.length === 0) continue
      this.#sequence++
      effects.push({ type: 'delegate', to: incarnation, params, isRenewal: isRenewal && missing.length === 0 })
    }
    for (const incarnation of this.#missing.keys()) if (!rows.some((row) => row.incarnation === incarnation)) this.#missing.delete(incarnation)
    return effects
  }

  /** Answer to a `delegate` effect that was carried out at `sentAt`. */
  handleDelegateAnswer (asked: readonly number[], { incarnation, fraction, validMs, partitions }: DelegateAnswer, sentAt: number, now: number): void {
    const kept = partitions.filter((partition) => this.#own.includes(partition))
    if (fraction > 0) this.home.addDelegation({ delegator: incarnation, partitions: kept, fraction, validMs, sentAt }, now)
    this.#missing.set(incarnation, new Set(asked.filter((partition) => !partitions.includes(partition))))
  }

  /** Answers another home, or the own one. */
  delegate ({ home, sequence, partitions }: DelegateParams, now: number): DelegateAnswer {
    const { fraction, validMs } = this.#shareTable.readShare(now)
    const host = this.#members.get(home)
    const answer = this.#delegation.delegate({
      home, sequence, partitions, shareValidMs: validMs, isPreferred: (partition) => host !== undefined && this.#homes[partition] === host
    }, now)
    return { incarnation: this.#self.incarnation, fraction, ...answer }
  }

  release (params: ReleaseParams): void {
    this.#delegation.release(params)
  }

  /** The next home's control took the tokens into account (`next` is its incarnation), or did not answer. */
  handleHandOverAnswer (handOverId: number, next: string | undefined): BudgetEffect[] {
    return next === undefined ? [] : this.#endHandOver(handOverId, next)
  }

  /** Stops granting and makes ready one hand-over for each next home. */
  #startHandOvers (partitions: number[], now: number): BudgetEffect[] {
    const outstanding = this.home.releasePartitions(partitions, now)
    const byHost = new Map<string, number[]>()
    for (const partition of partitions) {
      const host = this.#homes[partition] ?? ''
      byHost.set(host, [...byHost.get(host) ?? [], partition])
    }
    return [...byHost].flatMap(([host, moved]) => {
      const tokens = outstanding.filter(({ organisation }) => moved.includes(computePartition(organisation)))
      const handOverId = ++this.#handOverIds
      this.#handOvers.set(handOverId, { partitions: moved, sequence: this.#sequence, waitUntil: now + this.#grantsLapseMs })
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
