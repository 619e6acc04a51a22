import type { PromotionClaim } from './promotion-claim.js'

interface CallTarget { databaseId: string, revision: number, expiresAt: number }

/** Upper bound: the platform executes a call that got no response a few seconds later at the latest. */
const MAX_CALL_DELAY_MS = 8000

/**
 * Tracks calls of the promotion endpoint that may still take effect. Where the platform does not compare fencing tokens, a delayed
 * call would promote its database beside a primary that was promoted after it. No other database of the group may therefore be
 * promoted until the call can no longer take effect.
 */
export class InFlightPromotionCalls {
  readonly #targets = new Map<string, CallTarget>()

  static create (): InFlightPromotionCalls {
    return new InFlightPromotionCalls()
  }

  /** `now` is when this host received the claim, which is later than the call. */
  recordClaim (group: string, { successor }: PromotionClaim, revision: number, now: number): void {
    const known = this.#targets.get(group)
    if (known !== undefined && known.revision >= revision) return
    if (successor !== undefined) this.#targets.set(group, { databaseId: successor, revision, expiresAt: now + MAX_CALL_DELAY_MS })
    else if (known !== undefined) this.#targets.set(group, { ...known, revision })
  }

  /** The only database of the group that may be promoted at `now`; undefined when any may be promoted. */
  findInFlightDatabase (group: string, now: number): string | undefined {
    const target = this.#targets.get(group)
    return target !== undefined && now < target.expiresAt ? target.databaseId : undefined
  }
}
