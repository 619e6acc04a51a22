import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { FaultState } from '../faults/fault-state.js'
import type { DatabaseMember } from '../member/database-member.js'
import { encodeEntry } from './encode-entry.js'
import { findCommonPosition } from './find-common-position.js'
import { ReplicationLink } from './replication-link.js'
import type { ReplicationMessage } from './replication-message.js'

interface CreateOptions {
  member: DatabaseMember
  faults: FaultState
  address: string
  port: number
  heartbeatMs: number
  computeLatencyMs: (remote: string) => number
}

interface Follower {
  link: ReplicationLink
  term: number
  /** Position of the last entry that was sent. */
  sentPosition: number
  /** Position of the last entry that the follower acknowledged. */
  acknowledgedPosition: number
}

const MAX_BATCH_ENTRIES = 500
const MAX_UNACKNOWLEDGED_ENTRIES = 10_000

/** Sends the log of a primary to its followers. */
export class ReplicationServer {
  readonly #options: CreateOptions
  readonly #links = new Set<ReplicationLink>()
  readonly #followers = new Map<ReplicationLink, Follower>()
  readonly #unwatch: () => void
  readonly #heartbeatTimer: NodeJS.Timeout
  #server: Server | undefined
  #port: number
  #isScheduled = false
  /** Last encoded batch; it is reused for other followers at the same position. */
  #lastBatch: { term: number, after: number, count: number, bytes: Buffer } | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#port = options.port
    this.#unwatch = options.member.watch(() => { this.#scheduleSend() })
    this.#heartbeatTimer = setInterval(() => { this.#sendHeartbeats() }, options.heartbeatMs)
  }

  static create (options: CreateOptions): ReplicationServer {
    return new ReplicationServer(options)
  }

  get port (): number { return this.#port }

  /** Listens; a restart after `stop` uses the same port. */
  async start (): Promise<void> {
    const server = createServer((socket) => { this.#accept(socket) })
    this.#server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.#port, this.#options.address, resolve)
    })
    this.#port = (server.address() as AddressInfo).port
  }

  /** Refuses new links and drops the existing ones, as a crash does. */
  async stop (): Promise<void> {
    const server = this.#server
    this.#server = undefined
    const closed = new Promise<void>((resolve) => { server === undefined ? resolve() : server.close(() => { resolve() }) })
    for (const link of this.#links) link.destroy()
    await closed
  }

  async close (): Promise<void> {
    this.#unwatch()
    clearInterval(this.#heartbeatTimer)
    await this.stop()
  }

  #accept (socket: Socket): void {
    const { member, faults, computeLatencyMs } = this.#options
    const link: ReplicationLink = ReplicationLink.create({
      socket,
      local: member.name,
      faults,
      computeLatencyMs,
      handleMessage: (message) => { this.#handleMessage(link, message) },
      handleClose: () => {
        this.#links.delete(link)
        this.#followers.delete(link)
      }
    })
    this.#links.add(link)
  }

  #handleMessage (link: ReplicationLink, message: ReplicationMessage): void {
    if (message.type === 'follow') this.#addFollower(link, message)
    else if (message.type === 'ack') this.#recordAcknowledgement(link, message.position)
    else if (message.type === 'stale') this.#options.member.handleHigherTerm(message.term)
  }

  #addFollower (link: ReplicationLink, { term, history, position }: ReplicationMessage & { type: 'follow' }): void {
    const { member } = this.#options
    member.handleHigherTerm(term)
    if (member.role !== 'primary' || member.promisedTerm !== term) {
      link.send({ type: 'refuse' })
      return
    }
    const common = findCommonPosition({ history, position }, { history: member.listHistory(), position: member.last.position })
    this.#followers.set(link, { link, term, sentPosition: common, acknowledgedPosition: common })
    link.send({ type: 'accept', position: common })
    this.#scheduleSend()
  }

  #recordAcknowledgement (link: ReplicationLink, position: number): void {
    const follower = this.#followers.get(link)
    if (follower === undefined) return
    follower.acknowledgedPosition = Math.max(follower.acknowledgedPosition, position)
    this.#scheduleSend()
  }

  /** Sends the entries of one event-loop turn together. */
  #scheduleSend (): void {
    if (this.#isScheduled || this.#followers.size === 0) return
    this.#isScheduled = true
    setImmediate(() => {
      this.#isScheduled = false
      for (const follower of this.#followers.values()) this.#sendEntries(follower)
    })
  }

  #sendEntries (follower: Follower): void {
    const { member } = this.#options
    if (member.role !== 'primary' || member.promisedTerm !== follower.term) {
      follower.link.destroy()
      return
    }
    while (follower.sentPosition < member.last.position && follower.sentPosition - follower.acknowledgedPosition < MAX_UNACKNOWLEDGED_ENTRIES) {
      const { bytes, count } = this.#encodeBatch(follower)
      follower.link.sendBytes(bytes)
      follower.sentPosition += count
    }
  }

  #encodeBatch ({ link, term, sentPosition }: Follower): { bytes: Buffer, count: number } {
    const { member } = this.#options
    const expected = Math.min(MAX_BATCH_ENTRIES, member.last.position - sentPosition)
    const last = this.#lastBatch
    if (last?.term === term && last.after === sentPosition && last.count === expected) return last
    const entries = member.readEntries(sentPosition, MAX_BATCH_ENTRIES)
    this.#lastBatch = {
      term,
      after: sentPosition,
      count: entries.length,
      bytes: link.encode({ type: 'entries', after: sentPosition, entries: entries.map(encodeEntry) })
    }
    return this.#lastBatch
  }

  #sendHeartbeats (): void {
    for (const { link } of this.#followers.values()) {
      if (!link.hasHeldItems) link.send({ type: 'beat' })
    }
  }
}
