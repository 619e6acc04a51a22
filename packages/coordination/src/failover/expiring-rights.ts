import type { AnswerCheck, PrimaryRights, RightCheck } from './primary-rights.js'
import type { PromotionClaim } from './promotion-claim.js'

interface CreateOptions {
  /** Time in ms after which a right ends unless it is proven again. */
  limitMs: number
}

interface GroupState {
  claim: PromotionClaim | undefined
  revision: number
  /** The right before a claim that withdraws it; open transactions may use it until it is released or runs out. */
  before: { revision: number, until: number } | undefined
  releasedRevision: number
}

/**
 * Rights that run out. Where a promotion does not stop the old primary, a host may use a primary only while it can prove that no
 * newer claim exists: a promoter waits until every host has released its right or the right has run out. A proof counts from
 * before the question to the store was sent, so a right never outlasts the claim that it does not know by more than the limit.
 */
export class ExpiringRights implements PrimaryRights {
  readonly limitMs: number
  readonly #groups = new Map<string, GroupState>()
  #provenAt = -Infinity
  #invalidatedAt = -Infinity

  private constructor ({ limitMs }: CreateOptions) {
    this.limitMs = limitMs
  }

  static create (options: CreateOptions): ExpiringRights {
    return new ExpiringRights(options)
  }

  applyClaim (group: string, claim: PromotionClaim, revision: number): boolean {
    const state = this.#find(group)
    if (revision <= state.revision) return false
    const before = isSettled(state) ? { revision: state.revision, until: this.#provenAt + this.limitMs } : state.before
    this.#groups.set(group, { claim, revision, before, releasedRevision: state.releasedRevision })
    return true
  }

  findClaim (group: string): { claim: PromotionClaim, revision: number } | undefined {
    const { claim, revision } = this.#find(group)
    return claim === undefined ? undefined : { claim, revision }
  }

  confirm (provenAt: number, askedAt = provenAt): void {
    if (askedAt > this.#invalidatedAt) this.#provenAt = Math.max(this.#provenAt, provenAt)
  }

  invalidateProof (now: number): void {
    this.#provenAt = -Infinity
    this.#invalidatedAt = now
    for (const state of this.#groups.values()) state.before = undefined
  }

  check ({ group, databaseId, isJoining }: Parameters<PrimaryRights['check']>[0], now: number): RightCheck {
    const state = this.#find(group)
    if (!isSettled(state)) {
      if (isJoining && isBeforeUsable(state, now)) return { type: 'held', revision: state.before.revision }
      return { type: 'refused', reason: 'changing' }
    }
    if (state.claim?.leader !== undefined && state.claim.leader !== databaseId) return { type: 'refused', reason: 'replaced' }
    return now < this.#provenAt + this.limitMs ? { type: 'held', revision: state.revision } : { type: 'refused', reason: 'unproven' }
  }

  checkAnswer (group: string, revision: number, now: number): AnswerCheck {
    const state = this.#find(group)
    if (state.revision === revision) return now < this.#provenAt + this.limitMs ? 'valid' : 'unproven'
    return isBeforeUsable(state, now) && state.before.revision === revision ? 'valid' : 'lost'
  }

  release (group: string, revision: number): void {
    const state = this.#find(group)
    this.#groups.set(group, { ...state, releasedRevision: Math.max(state.releasedRevision, revision) })
  }

  #find (group: string): GroupState {
    return this.#groups.get(group) ?? { claim: undefined, revision: 0, before: undefined, releasedRevision: 0 }
  }
}

function isSettled ({ claim }: GroupState): boolean {
  return claim === undefined || claim.phase === 'ended'
}

function isBeforeUsable (state: GroupState, now: number): state is GroupState & { before: NonNullable<GroupState['before']> } {
  return state.before !== undefined && state.releasedRevision <= state.before.revision && now < state.before.until
}
