import type { AnswerCheck, PrimaryRights, RightCheck } from './primary-rights.js'
import type { PromotionClaim } from './promotion-claim.js'

/** Rights where a promotion stops the old primary at once: every statement is answered by a database that knows whether it leads. */
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
