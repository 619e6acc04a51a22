import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { LeaseBarrier } from '@tanagerusher/coordination/failover/lease-barrier'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { promotionNotice } from '@tanagerusher/protocol/peer/promotion-notice'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import type { PeerLinks } from '../peer/peer-links.js'
import { delay } from '../program/delay.js'
import type { ClaimHandler } from './claim-handler.js'

interface CreateOptions {
  group: string
  self: HostRecord
  links: PeerLinks
  /** Duration of the primary leases in ms; undefined where no lease needs to be waited for. */
  limitMs: number | undefined
  /** Time at which this host noticed that the era of the revision began by a restore of the store; undefined when it has seen none. */
  findRestoreTime: (revision: number) => number | undefined
  /** Releases this host's own lease. */
  claimHandler: ClaimHandler
  clock: Clock
  logger: Logger
}

interface Collection {
  claim: PromotionClaim
  revision: number
  hosts: readonly HostRecord[]
  claimedAt: number
  quiesceMs: number
  /** Renews the claim so that no other host takes it over; false when one has. */
  renew: () => Promise<boolean>
}

/** Several round trips between regions, on top of the time that a host needs to finish its work. */
const NOTICE_TIMEOUT_MS = 400
const RETRY_DELAY_MS = 100
const POLL_INTERVAL_MS = 10
/** Other hosts take over a claim that has not been written for 3 s. */
const RENEW_INTERVAL_MS = 1200

/** Sends a claim to all hosts and waits until none of them can use the old primary any more. */
export class LeaseReleaseCollector {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): LeaseReleaseCollector {
    return new LeaseReleaseCollector(options)
  }

  /** Returns false when another host took the claim over in the meantime. */
  async collect ({ claim, revision, hosts, claimedAt, quiesceMs, renew }: Collection): Promise<boolean> {
    const { group, self, limitMs, findRestoreTime, claimHandler, clock, logger } = this.#options
    const holders = [self.incarnation, ...hosts.map(({ incarnation }) => incarnation)]
    // A host that has not registered again since a restore may still use a lease that was confirmed before it.
    const restoredAt = findRestoreTime(revision)
    const areHoldersIncomplete = restoredAt !== undefined && claimedAt - restoredAt < (limitMs ?? 0)
    const barrier = LeaseBarrier.create({ holders, areHoldersIncomplete, claimedAt, limitMs })
    if (barrier.isOpen(clock.readTime())) return true
    void claimHandler.release(group, claim, revision, quiesceMs).then((isReleased) => { if (isReleased) barrier.recordRelease(self.incarnation) })
    for (const host of hosts) if (host.host !== self.host) void this.#requestRelease(host, { claim, revision, quiesceMs }, barrier)
    let renewedAt = clock.readTime()
    while (!barrier.isOpen(clock.readTime())) {
      await delay(POLL_INTERVAL_MS)
      if (clock.readTime() - renewedAt < RENEW_INTERVAL_MS) continue
      if (!await renew()) return false
      renewedAt = clock.readTime()
    }
    logger.info('primary leases released or expired', { group, hosts: hosts.length, silent: barrier.unreleasedHolders, tookMs: Math.round(clock.readTime() - claimedAt) })
    return true
  }

  /** Sends the ended claim to the connected hosts. The others read it from the store. */
  notifyEnd (claim: PromotionClaim, revision: number): void {
    const { group, links } = this.#options
    for (const link of links.all) {
      if (link.isUp) link.request(promotionNotice, { group, claim, ...orderedRevision.encode(revision), quiesceMs: 0 }, NOTICE_TIMEOUT_MS).catch(() => {}) // the link logs its loss itself
    }
  }

  async #requestRelease (host: HostRecord, notice: Pick<Collection, 'claim' | 'revision' | 'quiesceMs'>, barrier: LeaseBarrier): Promise<void> {
    const { group, links, clock, logger } = this.#options
    const link = links.find(host)
    while (barrier.unreleasedHolders.includes(host.incarnation) && !barrier.isOpen(clock.readTime())) {
      try {
        if (await link.prepare()) {
          await link.request(promotionNotice, { group, ...notice, ...orderedRevision.encode(notice.revision) }, notice.quiesceMs + NOTICE_TIMEOUT_MS)
          // If a newer incarnation of the host responds, it releases its own lease, and the requested incarnation has ended.
          barrier.recordRelease(host.incarnation)
        }
      } catch (error) {
        logger.info('host did not release its primary lease', { group, peer: host.host, reason: String((error as Error).message) })
      }
      await delay(RETRY_DELAY_MS)
    }
  }
}
