import type { PromotionClaim } from './promotion-claim.js'

interface LeaseUse {
  group: string
  databaseId: string
  /** Whether the work belongs to a transaction that is already open at the database. */
  isJoining: boolean
}

export type LeaseCheck =
  /** The work may be sent now. `revision` is the version of the claim that allows it. */
  | { type: 'held', revision: number }
  /** `unproven`: not confirmed, a newer claim may exist. `changing`: a promotion is in progress. `replaced`: another database leads. */
  | { type: 'refused', reason: 'unproven' | 'changing' | 'replaced' }

/** Whether the response to a commit that was sent under a lease shows that the commit is kept. */
export type ResponseCheck = 'valid' | 'unproven' | 'lost'

/** Leases that allow this host to send work to the primary of a group. */
export interface PrimaryLeases {
  /** Longest time in ms for which a host without updates keeps a lease; undefined where databases that do not lead reject work. */
  readonly limitMs: number | undefined
  /** Applies a claim received from the store or another host. Returns false and ignores the claim unless its revision is newer. */
  applyClaim(group: string, claim: PromotionClaim, revision: number): boolean
  findClaim(group: string): { claim: PromotionClaim, revision: number } | undefined
  /** The last applied claims of all groups. */
  listClaims(): Array<{ group: string, claim: PromotionClaim, revision: number }>
  /**
   * Records that all claims that existed at `confirmedAt` on this host's monotonic clock have been applied. The request for them was
   * sent at `requestedAt`.
   */
  confirm(confirmedAt: number, requestedAt?: number): void
  /** Called after a suspension: times measured before it are unreliable, and so are responses to requests sent before it. */
  invalidateConfirmation(now: number): void
  check(use: LeaseUse, now: number): LeaseCheck
  checkResponse(group: string, revision: number, now: number): ResponseCheck
  /** Permanently releases the lease that was granted before the claim of this revision. */
  release(group: string, revision: number): void
}
