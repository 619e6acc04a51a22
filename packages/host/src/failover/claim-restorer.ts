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
  logger: Logger
}

const CHECK_INTERVAL_MS = 300
/** With the interval, covers a store that is slow or unreachable for half a minute after its restore. */
const MAXIMUM_CHECKS = 100

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

  /** Compares the claims with the store until it has them all. Only relays write, to spare the store. */
  async run (): Promise<void> {
    if (this.#isRunning) return
    this.#isRunning = true
    for (let checks = 0; checks < MAXIMUM_CHECKS && !this.#isClosed; checks++) {
      const lost = this.#listLost()
      if (lost.length === 0) break
      if (this.#options.relays.isSelfRelay) await Promise.all(lost.map(async ({ group, claim }) => { await this.#write(group, claim) }))
      await delay(CHECK_INTERVAL_MS)
    }
    this.#isRunning = false
  }

  close (): void {
    this.#isClosed = true
  }

  #listLost (): Array<{ group: string, claim: PromotionClaim }> {
    const { leases, findStored } = this.#options
    return leases.listClaims().filter(({ group, claim }) => {
      const stored = findStored(fleetObjects.formatGroupName(group))
      return isClaimOutdated(promotionClaim.safeParse(stored?.value).data, claim)
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
