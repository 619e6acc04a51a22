import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { RightBarrier } from '@tanagerusher/coordination/failover/right-barrier'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import { promotionNotice } from '@tanagerusher/protocol/peer/promotion-notice'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { Logger } from 'winston'
import type { PeerLinks } from '../peer/peer-links.js'
import { pause } from '../program/pause.js'
import type { GroupClaims } from './group-claims.js'

interface CreateOptions {
  group: string
  self: HostRecord
  links: PeerLinks
  /** Limit of the rights in ms; undefined: nobody needs to be waited for. */
  limitMs: number | undefined
  /** This host's own right. */
  claims: GroupClaims
  clock: Clock
  logger: Logger
}

interface Collection {
  claim: PromotionClaim
  revision: number
  hosts: readonly HostRecord[]
  claimedAt: number
  quiesceMs: number
  /** Keeps the claim from being taken over; false when it was. */
  renew: () => Promise<boolean>
}

/** Some round trips between regions beyond the time that a host needs to end its work. */
const NOTICE_TIMEOUT_MS = 400
const RETRY_MS = 100
const STEP_MS = 10
/** Others take a claim over that was not touched for 3 s. */
const RENEW_MS = 1200

/** Tells all hosts of a claim and waits until none of them can use the old primary any more. */
export class ReleaseCollector {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ReleaseCollector {
    return new ReleaseCollector(options)
  }

  /** False when the claim was lost meanwhile. */
  async collect ({ claim, revision, hosts, claimedAt, quiesceMs, renew }: Collection): Promise<boolean> {
    const { group, self, limitMs, claims, clock, logger } = this.#options
    const barrier = RightBarrier.create({ holders: [self.incarnation, ...hosts.map(({ incarnation }) => incarnation)], claimedAt, limitMs })
    if (barrier.isOpen(clock.readTime())) return true
    void claims.release(group, claim, revision, quiesceMs).then(() => { barrier.recordRelease(self.incarnation) })
    for (const host of hosts) if (host.host !== self.host) void this.#ask(host, { claim, revision, quiesceMs }, barrier)
    let renewedAt = clock.readTime()
    while (!barrier.isOpen(clock.readTime())) {
      await pause(STEP_MS)
      if (clock.readTime() - renewedAt < RENEW_MS) continue
      if (!await renew()) return false
      renewedAt = clock.readTime()
    }
    logger.info('rights to the primary have ended', { group, hosts: hosts.length, silent: barrier.waiting, tookMs: Math.round(clock.readTime() - claimedAt) })
    return true
  }

  /** Tells the hosts that are in touch how the promotion ended; the others hear it from the store. */
  announce (claim: PromotionClaim, revision: number): void {
    const { group, links } = this.#options
    for (const link of links.all) {
      if (link.isUp) link.request(promotionNotice, { group, claim, revision, quiesceMs: 0 }, NOTICE_TIMEOUT_MS).catch(() => {}) // the link logs its own loss
    }
  }

  async #ask (host: HostRecord, notice: Pick<Collection, 'claim' | 'revision' | 'quiesceMs'>, barrier: RightBarrier): Promise<void> {
    const { group, links, clock, logger } = this.#options
    const link = links.find(host)
    while (barrier.waiting.includes(host.incarnation) && !barrier.isOpen(clock.readTime())) {
      try {
        if (await link.prepare()) {
          await link.request(promotionNotice, { group, ...notice }, notice.quiesceMs + NOTICE_TIMEOUT_MS)
          // Another incarnation that answers under the host's name has released its own right, and the one that was asked has ended.
          barrier.recordRelease(host.incarnation)
        }
      } catch (error) {
        logger.info('host did not release its right', { group, peer: host.host, reason: String((error as Error).message) })
      }
      await pause(RETRY_MS)
    }
  }
}
