import type { PromotionClaim } from './promotion-claim.js'

interface ClaimSighting { revision: number, firstSeenAt: number }

/** The holder of an unfinished claim that did not change for this time is considered lost. The next claim outdates its fencing token. */
const ABANDONED_AFTER_MS = 3000

/**
 * Decides whether this host may claim the promotion of a group. Another host's claim is respected until it has ended or has not
 * changed for 3 s of this host's monotonic clock, so that hosts that detect the same failure do not replace each other's claims.
 */
export class ClaimTakeoverPolicy {
  readonly #incarnation: string
  readonly #sightings = new Map<string, ClaimSighting>()

  private constructor (incarnation: string) {
    this.#incarnation = incarnation
  }

  static create (incarnation: string): ClaimTakeoverPolicy {
    return new ClaimTakeoverPolicy(incarnation)
  }

  isClaimable (group: string, claim: PromotionClaim | undefined, revision: number, now: number): boolean {
    if (claim === undefined || claim.phase === 'ended' || claim.incarnation === this.#incarnation) return true
    const sighting = this.#sightings.get(group)
    if (sighting?.revision !== revision) {
      this.#sightings.set(group, { revision, firstSeenAt: now })
      return false
    }
    return now - sighting.firstSeenAt >= ABANDONED_AFTER_MS
  }
}
