import type { ShareTable } from '@tanagerusher/coordination/budget/share-table'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PlatformStore } from '@tanagerusher/coordination/common/platform-store'
import type { MembershipView } from '@tanagerusher/coordination/membership/membership-view'
import { computeRendezvousOrder } from '@tanagerusher/coordination/membership/compute-rendezvous-order'
import type { Logger } from 'winston'
import { createShareRow } from '../membership/create-share-row.js'
import { runChange } from '../store/run-change.js'

interface CreateOptions {
  clock: Clock
  store: PlatformStore
  logger: Logger
  view: MembershipView
  shareTable: ShareTable
}

/** Delay after the start of the process, so that hosts that start together are all in the first table. */
const FIRST_TABLE_DELAY_MS = 1500
const PROPOSAL_INTERVAL_MS = 2000

/**
 * Proposes changes of the share table to the store. Only the serving host that is first in the rendezvous order does so. Two proposals
 * at the same time do no harm, because the store accepts only one update of the expected version.
 */
export class ShareTableTask {
  readonly #options: CreateOptions
  readonly #startedAt: number
  #nextProposalAt = -Infinity

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#startedAt = options.clock.readTime()
  }

  static create (options: CreateOptions): ShareTableTask {
    return new ShareTableTask(options)
  }

  async run (): Promise<void> {
    const { clock, store, logger, view, shareTable } = this.#options
    const now = clock.readTime()
    if (now < this.#nextProposalAt || now < this.#startedAt + FIRST_TABLE_DELAY_MS) return
    const serving = view.listServing(now)
    if (computeRendezvousOrder('share table', serving.map(({ host }) => host))[0] !== view.self.host) return
    const value = shareTable.propose(serving.map(createShareRow), now)
    if (value === null) return
    this.#nextProposalAt = now + PROPOSAL_INTERVAL_MS
    try {
      await runChange(store, { kind: 'fleet', name: 'share-table', value, expectedVersion: shareTable.version, changeId: `${view.self.incarnation}/${value.generation}` })
      logger.info('share table changed', { generation: value.generation, hosts: value.hosts.map(({ host }) => host).join() })
    } catch (error) {
      logger.warn('the share table was not changed', { error: String(error) })
    }
  }
}
