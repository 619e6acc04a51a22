import type { ObjectStore } from '@tanagerusher/coordination/common/object-store'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import { isClaimOutdated } from '@tanagerusher/coordination/failover/is-claim-outdated'
import type { PrimaryLeases } from '@tanagerusher/coordination/failover/primary-leases'
import { promotionClaim, type PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { fleetObjects } from '@tanagerusher/coordination/membership/fleet-objects'
import type { Logger } from 'winston'
import { delay } from '../program/delay.js'
import type { RelaySelector } from '../store/relay-selector.js'

interface CreateOptions {
  store: ObjectStore
  leases: PrimaryLeases
  relays: RelaySelector
  /** Returns an object of the fleet from the copy of the store. */
  findStored: (name: string) => StoreObject | undefined
  /** Revision of the store to which the copy corresponds. */
  readCopyRevision: () => number
  logger: Logger
}

const CHECK_INTERVAL_MS = 300
/** Relays write first, to spare the store. Other hosts write when the claims are still missing after this time. */
const RELAYS_ONLY_MS = 1200

/**
 * Writes the newest known claims again after a restore of the store lost them. Without them a host that starts later would use a
 * replaced primary, and every promotion would take the current leader for one that has been replaced.
 */
export class ClaimRestorer {
  readonly #options: CreateOptions
  #isRunning = false
  #isClosed = false

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ClaimRestorer {
    return new ClaimRestorer(options)
  }

  /** Whether the copy of the store has all known claims or newer ones. Until then its confirmations do not extend a primary lease. */
  hasAllClaims (): boolean {
    return this.#listLost().length === 0
  }

  /** Compares the claims with the store until it has them all. */
  async run (): Promise<void> {
    if (this.#isRunning) return
    this.#isRunning = true
    for (let waitedMs = 0; !this.#isClosed; waitedMs += CHECK_INTERVAL_MS) {
      const lost = this.#listLost()
      if (lost.length === 0) break
      if (this.#options.relays.isSelfRelay || waitedMs >= RELAYS_ONLY_MS) await Promise.all(lost.map(async ({ group, claim }) => { await this.#write(group, claim) }))
      await delay(CHECK_INTERVAL_MS)
    }
    this.#isRunning = false
  }

  close (): void {
    this.#isClosed = true
  }

  /** Leaves a claim alone that cannot be parsed, since a later version may have written it. */
  #listLost (): Array<{ group: string, claim: PromotionClaim }> {
    const { leases, findStored, readCopyRevision } = this.#options
    return leases.listClaims().filter(({ group, claim, revision }) => {
      const stored = findStored(fleetObjects.formatGroupName(group))
      // A copy from before the claim does not show whether the store has it.
      if (stored?.revision === revision || readCopyRevision() < revision) return false
      const storedClaim = promotionClaim.safeParse(stored?.value).data
      const isUnreadable = stored !== undefined && storedClaim === undefined
      return !isUnreadable && isClaimOutdated(storedClaim, claim)
    })
  }

  async #write (group: string, claim: PromotionClaim): Promise<void> {
    const { store, findStored, logger } = this.#options
    const name = fleetObjects.formatGroupName(group)
    const stored = findStored(name)
    const result = stored === undefined ? await store.create(fleetObjects.kind, name, claim) : await store.replace(fleetObjects.kind, name, claim, stored.revision)
    logger.warn('claim that the store has lost is written again', { group, phase: claim.phase, sequence: claim.sequence, leader: claim.leader, term: claim.term, outcome: result.type })
  }
}
