import type { PromotionClaim } from './promotion-claim.js'

/**
 * Whether `stored` is from before `known`, as after a restore of the store from a copy. The sequence of a group's claims never decreases
 * otherwise. A claim in progress counts as newer: another host that did not receive `known` may have written it after the restore.
 */
export function isClaimOutdated (stored: PromotionClaim | undefined, known: PromotionClaim): boolean {
  if (stored === undefined) return true
  return stored.phase === 'ended' && stored.sequence < known.sequence && (stored.term ?? 0) <= (known.term ?? 0)
}
