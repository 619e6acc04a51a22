import type { PromotionClaim } from './promotion-claim.js'

interface Use {
  group: string
  databaseId: string
  /** The work belongs to a transaction that is open at the database already. */
  isJoining: boolean
}

export type RightCheck =
  /** The work may be sent now. `revision` is the version of the claim that allows it. */
  | { type: 'held', revision: number }
  /** `unproven`: a newer claim may exist. `changing`: another database is being promoted. `replaced`: another one leads. */
  | { type: 'refused', reason: 'unproven' | 'changing' | 'replaced' }

/** Whether an answer to work that was sent with a right proves that its commit is kept. */
export type AnswerCheck = 'valid' | 'unproven' | 'lost'

/** This host's right to send work to the primary of a group. */
export interface PrimaryRights {
  /** Longest time in ms for which a host that hears nothing keeps a right; undefined where databases enforce the lead themselves. */
  readonly limitMs: number | undefined
  /** Takes what the store or another host says of a group's claim. Older versions are ignored; true when it was newer. */
  applyClaim(group: string, claim: PromotionClaim, revision: number): boolean
  findClaim(group: string): { claim: PromotionClaim, revision: number } | undefined
  /** All claims that existed at `provenAt`, by this host's monotonic clock, have been applied; it asked at `askedAt`. */
  confirm(provenAt: number, askedAt?: number): void
  /** After a suspension no time that was measured before it can be trusted, nor an answer to an earlier question. */
  invalidateProof(now: number): void
  check(use: Use, now: number): RightCheck
  checkAnswer(group: string, revision: number, now: number): AnswerCheck
  /** Gives up what was allowed before the claim of this revision, for good. */
  release(group: string, revision: number): void
}
