import type { PromotionClaim } from './promotion-claim.js'

interface Target { databaseId: string, revision: number, until: number }

/** The platform carries a call without an answer out some seconds later at the latest. */
const LATE_MS = 8000

/**
 * Databases that a call of the promotion endpoint may still promote. Where nobody compares tokens, a late call would put its
 * database beside a primary that was promoted since; until it can no longer come, no other database may be promoted.
 */
export class LateCalls {
  readonly #targets = new Map<string, Target>()

  static create (): LateCalls {
    return new LateCalls()
  }

  /** `now` is when this host saw the claim, which is later than the call. */
  recordClaim (group: string, { successor }: PromotionClaim, revision: number, now: number): void {
    const known = this.#targets.get(group)
    if (known !== undefined && known.revision >= revision) return
    if (successor !== undefined) this.#targets.set(group, { databaseId: successor, revision, until: now + LATE_MS })
    else if (known !== undefined) this.#targets.set(group, { ...known, revision })
  }

  /** Only database of the group that may be promoted now; undefined: any. */
  findTarget (group: string, now: number): string | undefined {
    const target = this.#targets.get(group)
    return target !== undefined && now < target.until ? target.databaseId : undefined
  }
}
