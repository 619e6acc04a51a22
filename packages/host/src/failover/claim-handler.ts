import { isClaimOutdated } from '@tanagerusher/coordination/failover/is-claim-outdated'
import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import type { PrimaryLeases } from '@tanagerusher/coordination/failover/primary-leases'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Logger } from 'winston'

interface CreateOptions {
  leases: PrimaryLeases
  leaders: LeaderView
  /** Waits until this host has no work in flight for the group's primary, for at most `timeLeftMs`. */
  quiesce: (group: string, timeLeftMs: number) => Promise<void>
  logger: Logger
}

/** Applies the promotion claims of all hosts on this host: stops the use of the primary, or records the new leader. */
export class ClaimHandler {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ClaimHandler {
    return new ClaimHandler(options)
  }

  /** Applies a claim that was received from the store or from another host. Returns false when it is from before the known one. */
  apply (group: string, claim: PromotionClaim, revision: number): boolean {
    const { leases, leaders, logger } = this.#options
    const known = leases.findClaim(group)
    if (known !== undefined && revision > known.revision && isClaimOutdated(claim, known.claim)) {
      logger.info('claim of a group is older than the known one', { group, revision, sequence: claim.sequence, knownSequence: known.claim.sequence })
      return false
    }
    if (leases.applyClaim(group, claim, revision)) {
      logger.info('claim of a group', { group, revision, phase: claim.phase, holder: claim.host, leader: claim.leader, term: claim.term })
    }
    if (claim.phase === 'ended' && claim.leader !== undefined) leaders.recordAppointment(group, claim.leader, claim.term ?? 0)
    return true
  }

  /**
   * Applies a claim and, unless it has ended, releases the lease from before it once no work that needs it is in flight. Returns false and
   * releases nothing when the claim is from before the known one.
   */
  async release (group: string, claim: PromotionClaim, revision: number, quiesceMs: number): Promise<boolean> {
    if (!this.apply(group, claim, revision)) return false
    if (claim.phase === 'ended') return true
    await this.#options.quiesce(group, quiesceMs)
    this.#options.leases.release(group, revision)
    return true
  }
}
