import type { AnswerCheck, PrimaryRights, RightCheck } from './primary-rights.js'
import type { PromotionClaim } from './promotion-claim.js'

/**
 * Primary leases for deployments where a promotion stops the old primary immediately. They never expire, because a database that no
 * longer leads rejects the statement itself.
 */
export class DatabaseEnforcedRights implements PrimaryRights {
  readonly limitMs = undefined
  readonly #claims = new Map<string, { claim: PromotionClaim, revision: number }>()

  static create (): DatabaseEnforcedRights {
    return new DatabaseEnforcedRights()
  }

  applyClaim (group: string, claim: PromotionClaim, revision: number): boolean {
    if (revision <= (this.#claims.get(group)?.revision ?? 0)) return false
    this.#claims.set(group, { claim, revision })
    return true
  }

  findClaim (group: string): { claim: PromotionClaim, revision: number } | undefined {
    return this.#claims.get(group)
  }

  confirm (): void {}

  invalidateProof (): void {}

  check (): RightCheck {
    return { type: 'held', revision: 0 }
  }

  checkAnswer (): AnswerCheck {
    return 'valid'
  }

  release (): void {}
}
