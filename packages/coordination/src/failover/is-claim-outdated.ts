import type { PromotionClaim } from './promotion-claim.js'

/**
 * Whether `stored` is from before `known`, as after a restore of the store from a copy, or was written by a host that has not received
 * `known`. The sequence of a group's claims never decreases otherwise. A claim with a call that may take effect always stands.
 */
export function isClaimOutdated (stored: PromotionClaim | undefined, known: PromotionClaim): boolean {
  if (stored === undefined) return true
  return stored.phase !== 'called' && stored.sequence < known.sequence && (stored.term ?? 0) <= (known.term ?? 0)
}
