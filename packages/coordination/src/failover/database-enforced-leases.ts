import type { ResponseCheck, PrimaryLeases, LeaseCheck } from './primary-leases.js'
import type { PromotionClaim } from './promotion-claim.js'

/**
 * Primary leases for deployments where a promotion stops the old primary immediately. They never expire, because a database that no
 * longer leads rejects the statement itself.
 */
export class DatabaseEnforcedLeases implements PrimaryLeases {
  readonly limitMs = undefined
  readonly #claims = new Map<string, { claim: PromotionClaim, revision: number }>()

  static create (): DatabaseEnforcedLeases {
    return new DatabaseEnforcedLeases()
  }

  applyClaim (group: string, claim: PromotionClaim, revision: number): boolean {
    if (revision <= (this.#claims.get(group)?.revision ?? 0)) return false
    this.#claims.set(group, { claim, revision })
    return true
  }

  findClaim (group: string): { claim: PromotionClaim, revision: number } | undefined {
    return this.#claims.get(group)
  }

  listClaims (): Array<{ group: string, claim: PromotionClaim, revision: number }> {
    return [...this.#claims].map(([group, known]) => ({ group, ...known }))
  }

  confirm (): void {}

  invalidateConfirmation (): void {}

  check (): LeaseCheck {
    return { type: 'held', revision: 0 }
  }

  checkResponse (): ResponseCheck {
    return 'valid'
  }

  release (): void {}
}
