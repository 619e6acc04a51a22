import type { PromotionClaim } from './promotion-claim.js'

interface Seen { revision: number, at: number }

/** A claim without an end for so long belongs to a host that is gone; its token is outdated by the next claim. */
const ABANDONED_AFTER_MS = 3000

/**
 * Whether this host may claim the promotion of a group. Hosts that see the same failure do not take turns: another host's
 * claim is left alone until it has ended or was not touched for a while, by this host's monotonic clock.
 */
export class ClaimQueue {
  readonly #incarnation: string
  readonly #seen = new Map<string, Seen>()

  private constructor (incarnation: string) {
    this.#incarnation = incarnation
  }

  static create (incarnation: string): ClaimQueue {
    return new ClaimQueue(incarnation)
  }

  mayClaim (group: string, claim: PromotionClaim | undefined, revision: number, now: number): boolean {
    if (claim === undefined || claim.phase === 'ended' || claim.incarnation === this.#incarnation) return true
    const seen = this.#seen.get(group)
    if (seen?.revision !== revision) {
      this.#seen.set(group, { revision, at: now })
      return false
    }
    return now - seen.at >= ABANDONED_AFTER_MS
  }
}
