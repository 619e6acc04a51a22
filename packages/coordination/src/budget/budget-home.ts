import { computePartition } from './compute-partition.js'
import { TokenBucket } from './token-bucket.js'

interface Limits { rate: number, burst: number }

interface HeldDelegation {
  fraction: number
  sentAt: number
  /** Latest time at which a new grant backed by this delegation still expires before the delegation does. */
  usableUntil: number
}

interface OpenGrant { tokens: number, expiresAt: number }

interface Account {
  bucket: TokenBucket
  updatedAt: number
  outstanding: number
  /** In order of issue, which is also the order of expiry. */
  grants: Map<string, OpenGrant>
  demands: Map<string, { perSecond: number, at: number }>
}

interface CreateOptions {
  incarnation: string
  grantValidMs?: number
  /** Bound, with reserve, on the relative clock drift between two hosts. The side that grants extends its expiry by this fraction. */
  clockMargin?: number
}

interface ReceivedDelegation {
  delegator: string
  partitions: readonly number[]
  fraction: number
  validMs: number
  /** Time on the clock of this home at which it sent the request. */
  sentAt: number
}

interface GrantRequest {
  organisation: string
  /** Incarnation of the requester, used to divide scarce tokens by demand. */
  holder: string
  wanted: number
  demandPerSecond: number
  closed?: ReadonlyArray<{ grantId: string, unspent: number }>
}

interface GrantResult { grantId: string, tokens: number, validMs: number, retryAfterMs: number }

const DEMAND_WINDOW_MS = 1000
const RETRY_MAX_MS = 250
const NO_BUDGET_RETRY_MS = 100

/**
 * Holds the token buckets of the partitions whose shares were delegated to this host, and grants tokens from them.
 *
 * For each organisation, the level plus the tokens in open grants never exceeds burst x (fractions held) and rises by at
 * most rate x (fractions held) per second. A grant always expires before every delegation that backed it. The argument is in
 * docs/decisions/rate-and-burst.md.
 */
export class BudgetHome {
  readonly #incarnation: string
  readonly #grantValidMs: number
  readonly #grantExpiryMs: number
  readonly #delegations = new Map<number, Map<string, HeldDelegation>>()
  /** Time at which each partition was released; responses to requests sent earlier are ignored. */
  readonly #releasedAt = new Map<number, number>()
  readonly #limits = new Map<string, Limits>()
  readonly #accounts = new Map<string, Account>()
  #grantCount = 0

  private constructor ({ incarnation, grantValidMs = 1000, clockMargin = 0.05 }: CreateOptions) {
    this.#incarnation = incarnation
    this.#grantValidMs = grantValidMs
    this.#grantExpiryMs = grantValidMs * (1 + clockMargin)
  }

  static create (options: CreateOptions): BudgetHome {
    return new BudgetHome(options)
  }

  /** Sets the current limits. A lower burst applies to the level immediately and to open grants as they expire. */
  updateLimits (organisation: string, limits: Limits | undefined, now: number): void {
    const known = this.#limits.get(organisation)
    if (known?.rate === limits?.rate && known?.burst === limits?.burst) return
    if (known !== undefined) this.#updateAccount(organisation, now)
    if (limits === undefined) this.#limits.delete(organisation)
    else this.#limits.set(organisation, { rate: limits.rate, burst: limits.burst })
    if (known !== undefined || this.#delegations.has(computePartition(organisation))) this.#updateAccount(organisation, now)
  }

  /** Records the delegation in a host's response to this home's request for its share. Late responses to older requests are ignored. */
  addDelegation ({ delegator, partitions, fraction, validMs, sentAt }: ReceivedDelegation, now: number): void {
    const usableUntil = sentAt + validMs - this.#grantExpiryMs
    for (const partition of partitions) {
      if (sentAt <= (this.#releasedAt.get(partition) ?? -Infinity)) continue
      const held = this.#delegations.get(partition) ?? new Map<string, HeldDelegation>()
      this.#delegations.set(partition, held)
      if (held.size === 0) this.#openAccounts(partition, now)
      const known = held.get(delegator)
      if (known !== undefined && known.sentAt >= sentAt) continue
      if (known === undefined || known.fraction !== fraction || known.usableUntil < now) this.#updatePartition(partition, now)
      held.set(delegator, { fraction, sentAt, usableUntil: Math.max(usableUntil, known?.fraction === fraction ? known.usableUntil : 0) })
      if (known !== undefined && known.fraction > fraction) this.#updatePartition(partition, now)
    }
  }

  /** Releases partitions: drops their delegations and stops granting. Returns the tokens of grants that are still open. */
  releasePartitions (partitions: readonly number[], now: number): Array<{ organisation: string, tokens: number }> {
    for (const partition of partitions) {
      this.#delegations.delete(partition)
      this.#releasedAt.set(partition, now)
    }
    return [...this.#accounts.keys()]
      .filter((organisation) => partitions.includes(computePartition(organisation)))
      .map((organisation) => ({ organisation, tokens: this.#updateAccount(organisation, now)?.outstanding ?? 0 }))
      .filter(({ tokens }) => tokens > 0)
  }

  /**
   * Counts grants of the previous home against the burst until they have expired. Returns false and changes nothing when
   * this home has no limits for one of the organisations yet; the previous home must then wait until its grants expire.
   */
  addPreviousHomeGrants (outstanding: ReadonlyArray<{ organisation: string, tokens: number }>, now: number): boolean {
    if (outstanding.some(({ organisation }) => !this.#limits.has(organisation))) return false
    for (const { organisation, tokens } of outstanding) {
      const account = this.#updateAccount(organisation, now)
      if (account === undefined) continue
      account.grants.set(`foreign/${++this.#grantCount}`, { tokens, expiresAt: now + this.#grantExpiryMs })
      account.outstanding += tokens
      this.#updateAccount(organisation, now)
    }
    return true
  }

  /** Grants at most the tokens in the bucket, after closing the grants in `closed`. */
  request ({ organisation, holder, wanted, demandPerSecond, closed = [] }: GrantRequest, now: number): GrantResult {
    for (const { grantId, unspent } of closed) this.returnGrant(organisation, grantId, unspent, now)
    const limits = this.#limits.get(organisation)
    const account = this.#updateAccount(organisation, now)
    const fraction = this.#sumFractions(organisation, now)
    if (limits === undefined || account === undefined || fraction === 0) {
      return { grantId: '', tokens: 0, validMs: 0, retryAfterMs: NO_BUDGET_RETRY_MS }
    }
    account.demands.set(holder, { perSecond: demandPerSecond, at: now })
    const tokens = account.bucket.take(Math.min(wanted, this.#computeAllotment(account, holder, wanted, now)))
    if (tokens === 0) return { grantId: '', tokens, validMs: 0, retryAfterMs: computeRetryAfterMs(account.bucket.level, limits.rate * fraction) }
    const grantId = `${this.#incarnation}/${++this.#grantCount}`
    account.grants.set(grantId, { tokens, expiresAt: now + this.#grantExpiryMs })
    account.outstanding += tokens
    return { grantId, tokens, validMs: this.#grantValidMs, retryAfterMs: tokens < wanted ? computeRetryAfterMs(account.bucket.level, limits.rate * fraction) : 0 }
  }

  /** Closes a grant: `unspent` tokens go back into the bucket, the others count as spent. Repeated calls are ignored. */
  returnGrant (organisation: string, grantId: string, unspent: number, now: number): void {
    const account = this.#updateAccount(organisation, now)
    const grant = account?.grants.get(grantId)
    if (account === undefined || grant === undefined) return
    account.grants.delete(grantId)
    account.outstanding -= grant.tokens
    const returned = Math.max(0, Math.min(unspent, grant.tokens))
    account.bucket.fill(returned, this.#computeBucketLimit(organisation, account, now))
  }

  /** Returns the sum of the fractions held for an organisation's partition. */
  readFraction (organisation: string, now: number): number {
    return this.#sumFractions(organisation, now)
  }

  /** Divides a low level by demand among the holders that requested tokens within `DEMAND_WINDOW_MS`; each may take at least one token. */
  #computeAllotment (account: Account, holder: string, wanted: number, now: number): number {
    if (account.bucket.level >= wanted * 2) return wanted
    let total = 0
    for (const [key, { perSecond, at }] of account.demands) {
      if (now - at > DEMAND_WINDOW_MS) account.demands.delete(key)
      else total += perSecond
    }
    const own = account.demands.get(holder)?.perSecond ?? 0
    return account.demands.size <= 1 || total === 0 ? wanted : Math.max(1, account.bucket.level * own / total)
  }

  #updatePartition (partition: number, now: number): void {
    for (const [organisation] of this.#accounts) {
      if (computePartition(organisation) === partition) this.#updateAccount(organisation, now)
    }
  }

  /** Updates an account to `now`: removes expired grants and refills the bucket for the time that each delegation was usable. */
  #updateAccount (organisation: string, now: number): Account | undefined {
    const account = this.#accounts.get(organisation) ?? this.#openAccount(organisation, now)
    if (account === undefined) return undefined
    for (const [id, grant] of account.grants) {
      if (grant.expiresAt > now) break
      account.grants.delete(id)
      account.outstanding -= grant.tokens
    }
    const rate = this.#limits.get(organisation)?.rate ?? 0
    let gained = 0
    for (const { fraction, usableUntil } of this.#delegations.get(computePartition(organisation))?.values() ?? []) {
      gained += rate * fraction * Math.max(0, Math.min(now, usableUntil) - account.updatedAt) / 1000
    }
    account.updatedAt = now
    account.bucket.fill(gained, this.#computeBucketLimit(organisation, account, now))
    return account
  }

  /** Opens accounts at the first delegation: buckets refill from then on, so the first burst of an idle organisation is admitted. */
  #openAccounts (partition: number, now: number): void {
    for (const [organisation] of this.#limits) if (computePartition(organisation) === partition) this.#updateAccount(organisation, now)
  }

  #openAccount (organisation: string, now: number): Account | undefined {
    if (!this.#limits.has(organisation)) return undefined
    const account: Account = { bucket: TokenBucket.create(), updatedAt: now, outstanding: 0, grants: new Map(), demands: new Map() }
    this.#accounts.set(organisation, account)
    return account
  }

  #computeBucketLimit (organisation: string, account: Account, now: number): number {
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

function computeRetryAfterMs (level: number, perSecond: number): number {
  return Math.min(RETRY_MAX_MS, Math.max(1, Math.ceil(1000 * (1 - level) / perSecond)))
}
