import { connect, type Socket } from 'node:net'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { FaultState } from '../faults/fault-state.js'
import type { DatabaseMember } from '../member/database-member.js'
import { decodeEntry } from './decode-entry.js'
import type { EncodedEntry } from './encoded-entry.js'
import { LagQueue } from './lag-queue.js'
import { ReplicationLink } from './replication-link.js'
import type { ReplicationMessage } from './replication-message.js'

interface CreateOptions {
  member: DatabaseMember
  faults: FaultState
  clock: Clock
  findAddress: (database: string) => { address: string, port: number } | undefined
  computeLatencyMs: (remote: string) => number
}

interface Subscription {
  term: number
  primary: string
  link: ReplicationLink
  lag: LagQueue<{ after: number, entries: EncodedEntry[] }>
}

const RETRY_DELAY_MS = 50
const LINK_CLOSE_DELAY_MS = 1000

/** Maintains the link from a replica to the primary that it follows, and applies the entries that it receives. */
export class FollowerTask {
  readonly #options: CreateOptions
  readonly #unwatch: Array<() => void>
  readonly #links = new Set<ReplicationLink>()
  #subscription: Subscription | undefined
  #retryTimer: NodeJS.Timeout | undefined
  #isStopped = true

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#unwatch = [
      options.member.watch(() => { this.#update() }),
      options.faults.watch(() => { this.#subscription?.lag.update() })
    ]
  }

  static create (options: CreateOptions): FollowerTask {
    return new FollowerTask(options)
  }

  start (): void {
    this.#isStopped = false
    this.#update()
  }

  /** Drops all links without notice, as a crash does. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#retryTimer)
    for (const link of this.#links) link.destroy()
  }

  close (): void {
    for (const unwatch of this.#unwatch) unwatch()
    this.stop()
  }

  #update (): void {
    if (this.#isStopped) return
    const { member } = this.#options
    const current = this.#subscription
    if (current !== undefined && !member.isFollowing(current.term, current.primary)) this.#unsubscribe(current)
    if (this.#subscription === undefined && member.role === 'replica' && member.primary !== null) this.#subscribe(member.promisedTerm, member.primary)
  }

  /**
   * Closes the link to a primary that is no longer followed. Sends it the higher promised term first, because this link
   * may be the only one that still reaches the deposed primary.
   */
  #unsubscribe (subscription: Subscription): void {
    const { link, lag } = subscription
    this.#subscription = undefined
    lag.close()
    link.send({ type: 'stale', term: this.#options.member.promisedTerm })
    setTimeout(() => { link.destroy() }, LINK_CLOSE_DELAY_MS).unref()
  }

  #subscribe (term: number, primary: string): void {
    const target = this.#options.findAddress(primary)
    if (target === undefined) return
    const socket = connect({ host: target.address, port: target.port })
    const link = this.#createLink(socket, primary)
    const lag = this.#createLagQueue(primary)
    this.#subscription = { term, primary, link, lag }
    this.#links.add(link)
    socket.once('connect', () => {
      const { member } = this.#options
      if (!member.isFollowing(term, primary)) return
      link.send({ type: 'follow', from: member.name, to: primary, term, history: member.listHistory(), position: member.last.position })
    })
  }

  #createLink (socket: Socket, primary: string): ReplicationLink {
    const { member, faults, computeLatencyMs } = this.#options
    const link: ReplicationLink = ReplicationLink.create({
      socket,
      local: member.name,
      remote: primary,
      faults,
      computeLatencyMs,
      handleMessage: (message) => { if (this.#subscription?.link === link) this.#handleMessage(this.#subscription, message) },
      handleClose: () => { this.#handleClose(link) }
    })
    return link
  }

  #createLagQueue (primary: string): LagQueue<{ after: number, entries: EncodedEntry[] }> {
    const { member, faults, clock } = this.#options
    return LagQueue.create({
      readTime: () => clock.readTime(),
      readLagMs: () => faults.isPaused(member.name) ? Infinity : faults.readLagMs(primary, member.name),
      deliver: ({ after, entries }) => { this.#apply(after, entries) }
    })
  }

  #handleMessage (subscription: Subscription, message: ReplicationMessage): void {
    const { member } = this.#options
    const { term, primary, link, lag } = subscription
    if (!member.isFollowing(term, primary)) return
    member.recordLinkActivity()
    if (message.type === 'accept') member.truncate(message.position)
    else if (message.type === 'entries') lag.push(message)
    else if (message.type === 'refuse') link.destroy()
  }

  #apply (after: number, entries: EncodedEntry[]): void {
    const { member } = this.#options
    const subscription = this.#subscription
    if (this.#isStopped || subscription === undefined || !member.isFollowing(subscription.term, subscription.primary)) return
    if (member.receiveEntries(after, entries.map(decodeEntry))) subscription.link.send({ type: 'ack', position: member.last.position })
    else subscription.link.destroy()
  }

  #handleClose (link: ReplicationLink): void {
    this.#links.delete(link)
    if (this.#subscription?.link !== link) return
    this.#subscription.lag.close()
    this.#subscription = undefined
    if (this.#isStopped) return
    clearTimeout(this.#retryTimer)
    this.#retryTimer = setTimeout(() => { this.#update() }, RETRY_DELAY_MS)
  }
}
