import type { LeaderView } from '@tanagerusher/coordination/failover/leader-view'
import type { PrimaryRights } from '@tanagerusher/coordination/failover/primary-rights'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import type { Logger } from 'winston'

interface CreateOptions {
  rights: PrimaryRights
  leaders: LeaderView
  /** Waits until this host's work for the group's primary has ended; no longer than the time given. */
  quiesce: (group: string, timeLeftMs: number) => Promise<void>
  logger: Logger
}

/** What this host does when it hears of a claim: it stops using the primary, or learns which one leads. */
export class GroupClaims {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): GroupClaims {
    return new GroupClaims(options)
  }

  /** Takes a claim that another host or the store tells of. */
  apply (group: string, claim: PromotionClaim, revision: number): void {
    const { rights, leaders, logger } = this.#options
    if (rights.applyClaim(group, claim, revision)) {
      logger.info('claim of a group', { group, revision, phase: claim.phase, holder: claim.host, leader: claim.leader, term: claim.term })
    }
    if (claim.phase === 'ended' && claim.leader !== undefined) leaders.recordAppointment(group, claim.leader, claim.term ?? 0)
  }

  /** Takes a claim and, unless it has ended, gives up the right from before it once nothing that needs it is under way. */
  async release (group: string, claim: PromotionClaim, revision: number, quiesceMs: number): Promise<void> {
    this.apply(group, claim, revision)
    if (claim.phase === 'ended') return
    await this.#options.quiesce(group, quiesceMs)
    this.#options.rights.release(group, revision)
  }
}
