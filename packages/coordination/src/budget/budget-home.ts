import { computePartition } from './compute-partition.js'
import { TokenBucket } from './token-bucket.js'

interface Limits { rate: number, burst: number }

interface HeldDelegation {
  fraction: number
  sentAt: number
  /** Last moment at which a grant backed by it still lapses before the delegation does. */
  usableUntil: number
}

interface OpenGrant { tokens: number, lapsesAt: number }

interface Account {
  bucket: TokenBucket
  filledAt: number
  outstanding: number
  /** In the order of issue, which is the order of lapsing. */
  grants: Map<string, OpenGrant>
  demands: Map<string, { perSecond: number, at: number }>
}

interface CreateOptions {
  incarnation: string
  grantValidMs?: number
  /** Share by which the clocks of two hosts may run apart, with reserve. The giver waits this much longer. */
  clockMargin?: number
}

interface DelegationGiven {
  delegator: string
  partitions: readonly number[]
  fraction: number
  validMs: number
  /** When this home sent the request, on its own clock. */
  sentAt: number
}

interface GrantRequest {
  organisation: string
  /** Incarnation of the asker, to divide scarce tokens by demand. */
  holder: string
  wanted: number
  demandPerSecond: number
  closed?: ReadonlyArray<{ grantId: string, unspent: number }>
}

interface GrantResult { grantId: string, tokens: number, validMs: number, retryAfterMs: number }

const DEMAND_MEMORY_MS = 1000
const RETRY_MAX_MS = 250
const NO_BUDGET_RETRY_MS = 100

/**
 * Keeps the buckets of the partitions whose shares were delegated to this host, and sends grants from them.
 *
 * For each organisation, the level plus the tokens in open grants never exceeds burst x (fractions held) and rises by at
 * most rate x (fractions held) a second. A grant always lapses before each delegation that backed it. The argument is in
 * docs/decisions/rate-and-burst.md.
 */
export class BudgetHome {
  readonly #incarnation: string
  readonly #grantValidMs: number
  readonly #grantGuardMs: number
  readonly #delegations = new Map<number, Map<string, HeldDelegation>>()
  /** When each partition was given up; answers to requests sent before no longer count. */
  readonly #releasedAt = new Map<number, number>()
  readonly #limits = new Map<string, Limits>()
  readonly #accounts = new Map<string, Account>()
  #issued = 0

  private constructor ({ incarnation, grantValidMs = 1000, clockMargin = 0.05 }: CreateOptions) {
    this.#incarnation = incarnation
    this.#grantValidMs = grantValidMs
    this.#grantGuardMs = grantValidMs * (1 + clockMargin)
  }

  static create (options: CreateOptions): BudgetHome {
    return new BudgetHome(options)
  }

  /** Sets the limits in force. A lower burst applies to the level at once and to open grants as they lapse. */
  updateLimits (organisation: string, limits: Limits | undefined, now: number): void {
    const known = this.#limits.get(organisation)
    if (known?.rate === limits?.rate && known?.burst === limits?.burst) return
    if (known !== undefined) this.#advance(organisation, now)
    if (limits === undefined) this.#limits.delete(organisation)
    else this.#limits.set(organisation, { rate: limits.rate, burst: limits.burst })
    if (known !== undefined || this.#delegations.has(computePartition(organisation))) this.#advance(organisation, now)
  }

  /** Records the answer of a host to this home's request for its share. Late answers to older requests are ignored. */
  addDelegation ({ delegator, partitions, fraction, validMs, sentAt }: DelegationGiven, now: number): void {
    const usableUntil = sentAt + validMs - this.#grantGuardMs
    for (const partition of partitions) {
      if (sentAt <= (this.#releasedAt.get(partition) ?? -Infinity)) continue
      const held = this.#delegations.get(partition) ?? new Map<string, HeldDelegation>()
      this.#delegations.set(partition, held)
      if (held.size === 0) this.#openAccounts(partition, now)
      const known = held.get(delegator)
      if (known !== undefined && known.sentAt >= sentAt) continue
      if (known === undefined || known.fraction !== fraction || known.usableUntil < now) this.#advancePartition(partition, now)
      held.set(delegator, { fraction, sentAt, usableUntil: Math.max(usableUntil, known?.fraction === fraction ? known.usableUntil : 0) })
      if (known !== undefined && known.fraction > fraction) this.#advancePartition(partition, now)
    }
  }

  /** Gives up partitions: levels are dropped, nothing more is granted. Returns what is still out in grants. */
  releasePartitions (partitions: readonly number[], now: number): Array<{ organisation: string, tokens: number }> {
    for (const partition of partitions) {
      this.#delegations.delete(partition)
      this.#releasedAt.set(partition, now)
    }
    return [...this.#accounts.keys()]
      .filter((organisation) => partitions.includes(computePartition(organisation)))
      .map((organisation) => ({ organisation, tokens: this.#advance(organisation, now)?.outstanding ?? 0 }))
      .filter(({ tokens }) => tokens > 0)
  }

  /**
   * Counts grants of a former home against the burst until they have lapsed. False, with nothing done, when an
   * organisation is not known here yet: the former home must then wait for its grants to lapse.
   */
  addForeignGrants (outstanding: ReadonlyArray<{ organisation: string, tokens: number }>, now: number): boolean {
    if (outstanding.some(({ organisation }) => !this.#limits.has(organisation))) return false
    for (const { organisation, tokens } of outstanding) {
      const account = this.#advance(organisation, now)
      if (account === undefined) continue
      account.grants.set(`foreign/${++this.#issued}`, { tokens, lapsesAt: now + this.#grantGuardMs })
      account.outstanding += tokens
      this.#advance(organisation, now)
    }
    return true
  }

  /** Grants tokens, at most what the bucket holds. Closed grants settle first. */
  request ({ organisation, holder, wanted, demandPerSecond, closed = [] }: GrantRequest, now: number): GrantResult {
    for (const { grantId, unspent } of closed) this.returnGrant(organisation, grantId, unspent, now)
    const limits = this.#limits.get(organisation)
    const account = this.#advance(organisation, now)
    const fraction = this.#sumFractions(organisation, now)
    if (limits === undefined || account === undefined || fraction === 0) {
      return { grantId: '', tokens: 0, validMs: 0, retryAfterMs: NO_BUDGET_RETRY_MS }
    }
    account.demands.set(holder, { perSecond: demandPerSecond, at: now })
    const tokens = account.bucket.take(Math.min(wanted, this.#computePart(account, holder, wanted, now)))
    if (tokens === 0) return { grantId: '', tokens, validMs: 0, retryAfterMs: computeRetryAfter(account.bucket.level, limits.rate * fraction) }
    const grantId = `${this.#incarnation}/${++this.#issued}`
    account.grants.set(grantId, { tokens, lapsesAt: now + this.#grantGuardMs })
    account.outstanding += tokens
    return { grantId, tokens, validMs: this.#grantValidMs, retryAfterMs: tokens < wanted ? computeRetryAfter(account.bucket.level, limits.rate * fraction) : 0 }
  }

  /** Closes a grant: `unspent` tokens go back into the bucket, the others count as spent. Repeats are ignored. */
  returnGrant (organisation: string, grantId: string, unspent: number, now: number): void {
    const account = this.#advance(organisation, now)
    const grant = account?.grants.get(grantId)
    if (account === undefined || grant === undefined) return
    account.grants.delete(grantId)
    account.outstanding -= grant.tokens
    const returned = Math.max(0, Math.min(unspent, grant.tokens))
    account.bucket.fill(returned, this.#computeLimit(organisation, account, now))
  }

  /** Sum of the fractions held for an organisation's partition, for status. */
  readFraction (organisation: string, now: number): number {
    return this.#sumFractions(organisation, now)
  }

  /** Divides a short level among those who asked in the last second, by their demand. At least one token each. */
  #computePart (account: Account, holder: string, wanted: number, now: number): number {
    if (account.bucket.level >= wanted * 2) return wanted
    let total = 0
    for (const [key, { perSecond, at }] of account.demands) {
      if (now - at > DEMAND_MEMORY_MS) account.demands.delete(key)
      else total += perSecond
    }
    const own = account.demands.get(holder)?.perSecond ?? 0
    return account.demands.size <= 1 || total === 0 ? wanted : Math.max(1, account.bucket.level * own / total)
  }

  #advancePartition (partition: number, now: number): void {
    for (const [organisation] of this.#accounts) {
      if (computePartition(organisation) === partition) this.#advance(organisation, now)
    }
  }

  /** Brings an account up to `now`: open grants lapse, the bucket fills for the time that each delegation was usable. */
  #advance (organisation: string, now: number): Account | undefined {
    const account = this.#accounts.get(organisation) ?? this.#openAccount(organisation, now)
    if (account === undefined) return undefined
    for (const [id, grant] of account.grants) {
      if (grant.lapsesAt > now) break
      account.grants.delete(id)
      account.outstanding -= grant.tokens
    }
    const rate = this.#limits.get(organisation)?.rate ?? 0
    let gained = 0
    for (const { fraction, usableUntil } of this.#delegations.get(computePartition(organisation))?.values() ?? []) {
      gained += rate * fraction * Math.max(0, Math.min(now, usableUntil) - account.filledAt) / 1000
    }
    account.filledAt = now
    account.bucket.fill(gained, this.#computeLimit(organisation, account, now))
    return account
  }

  /** Buckets fill from the first delegation on, so that the first burst of an organisation that was idle is inside its rate. */
  #openAccounts (partition: number, now: number): void {
    for (const [organisation] of this.#limits) if (computePartition(organisation) === partition) this.#advance(organisation, now)
  }

  #openAccount (organisation: string, now: number): Account | undefined {
    if (!this.#limits.has(organisation)) return undefined
    const account: Account = { bucket: TokenBucket.create(), filledAt: now, outstanding: 0, grants: new Map(), demands: new Map() }
    this.#accounts.set(organisation, account)
    return account
  }

  #computeLimit (organisation: string, account: Account, now: number): number {
    return (this.#limits.get(organisation)?.burst ?? 0) * this.#sumFractions(organisation, now) - account.outstanding
  }

  #sumFractions (organisation: string, now: number): number {
    let sum = 0
    for (const { fraction, usableUntil } of this.#delegations.get(computePartition(organisation))?.values() ?? []) {
      if (usableUntil > now) sum += fraction
    }
    return Math.min(sum, 1)
  }
}

function computeRetryAfter (level: number, perSecond: number): number {
  return Math.min(RETRY_MAX_MS, Math.max(1, Math.ceil(1000 * (1 - level) / perSecond)))
}
