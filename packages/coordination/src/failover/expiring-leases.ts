import type { ResponseCheck, PrimaryLeases, LeaseCheck } from './primary-leases.js'
import type { PromotionClaim } from './promotion-claim.js'

interface CreateOptions {
  /** Time in ms after which a lease expires unless it is confirmed again. */
  limitMs: number
}

interface GroupState {
  claim: PromotionClaim | undefined
  revision: number
  /** Lease that an active claim withdrew. Open transactions may use it until it is released or expires. */
  previousLease: { revision: number, expiresAt: number } | undefined
  releasedRevision: number
}

/**
 * Primary leases for deployments where a promotion does not stop the old primary. A host may use a primary only while it has a recent
 * confirmation that no newer claim exists, and a promoter waits until every host has released its lease or the lease has expired.
 * The time of a confirmation is taken before the request to the store is sent, so a lease expires at most `limitMs` after a claim
 * that its holder did not receive.
 */
export class ExpiringLeases implements PrimaryLeases {
  readonly limitMs: number
  readonly #groups = new Map<string, GroupState>()
  #confirmedAt = -Infinity
  #invalidatedAt = -Infinity

  private constructor ({ limitMs }: CreateOptions) {
    this.limitMs = limitMs
  }

  static create (options: CreateOptions): ExpiringLeases {
    return new ExpiringLeases(options)
  }

  applyClaim (group: string, claim: PromotionClaim, revision: number): boolean {
    const state = this.#find(group)
    if (revision <= state.revision) return false
    const previousLease = isSettled(state) ? { revision: state.revision, expiresAt: this.#confirmedAt + this.limitMs } : state.previousLease
    this.#groups.set(group, { claim, revision, previousLease, releasedRevision: state.releasedRevision })
    return true
  }

  findClaim (group: string): { claim: PromotionClaim, revision: number } | undefined {
    const { claim, revision } = this.#find(group)
    return claim === undefined ? undefined : { claim, revision }
  }

  listClaims (): Array<{ group: string, claim: PromotionClaim, revision: number }> {
    return [...this.#groups].flatMap(([group, { claim, revision }]) => claim === undefined ? [] : [{ group, claim, revision }])
  }

  confirm (confirmedAt: number, requestedAt = confirmedAt): void {
    if (requestedAt > this.#invalidatedAt) this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt)
  }

  invalidateConfirmation (now: number): void {
    this.#confirmedAt = -Infinity
    this.#invalidatedAt = now
    for (const state of this.#groups.values()) state.previousLease = undefined
  }

  check ({ group, databaseId, isJoining }: Parameters<PrimaryLeases['check']>[0], now: number): LeaseCheck {
    const state = this.#find(group)
    if (!isSettled(state)) {
      if (isJoining && isPreviousLeaseUsable(state, now)) return { type: 'held', revision: state.previousLease.revision }
      return { type: 'refused', reason: 'changing' }
    }
    if (state.claim?.leader !== undefined && state.claim.leader !== databaseId) return { type: 'refused', reason: 'replaced' }
    return now < this.#confirmedAt + this.limitMs ? { type: 'held', revision: state.revision } : { type: 'refused', reason: 'unproven' }
  }

  checkResponse (group: string, revision: number, now: number): ResponseCheck {
    const state = this.#find(group)
    if (state.revision === revision) return now < this.#confirmedAt + this.limitMs ? 'valid' : 'unproven'
    return isPreviousLeaseUsable(state, now) && state.previousLease.revision === revision ? 'valid' : 'lost'
  }

  release (group: string, revision: number): void {
    const state = this.#find(group)
    this.#groups.set(group, { ...state, releasedRevision: Math.max(state.releasedRevision, revision) })
  }

  #find (group: string): GroupState {
    return this.#groups.get(group) ?? { claim: undefined, revision: 0, previousLease: undefined, releasedRevision: 0 }
  }
}

function isSettled ({ claim }: GroupState): boolean {
  return claim === undefined || claim.phase === 'ended'
}

function isPreviousLeaseUsable (state: GroupState, now: number): state is GroupState & { previousLease: NonNullable<GroupState['previousLease']> } {
  return state.previousLease !== undefined && state.releasedRevision <= state.previousLease.revision && now < state.previousLease.expiresAt
}
