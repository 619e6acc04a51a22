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
  /** Position of the last entry sent, and of the last that the follower confirmed. */
  sent: number
  confirmed: number
}

const BATCH_ENTRIES = 500
const WINDOW_ENTRIES = 10_000

/** Sends the log of a primary to the databases that follow it. */
export class ReplicationServer {
  readonly #options: CreateOptions
  readonly #links = new Set<ReplicationLink>()
  readonly #followers = new Map<ReplicationLink, Follower>()
  readonly #unwatch: () => void
  readonly #beat: NodeJS.Timeout
  #server: Server | undefined
  #port: number
  #scheduled = false
  /** Last encoded batch; followers at the same position get the same bytes. */
  #batch: { term: number, after: number, count: number, bytes: Buffer } | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#port = options.port
    this.#unwatch = options.member.watch(() => { this.#schedule() })
    this.#beat = setInterval(() => { this.#sendBeats() }, options.heartbeatMs)
  }

  static create (options: CreateOptions): ReplicationServer {
    return new ReplicationServer(options)
  }

  get port (): number { return this.#port }

  /** Listens; after a stop on the same port as before. */
  async start (): Promise<void> {
    const server = createServer((socket) => { this.#accept(socket) })
    this.#server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.#port, this.#options.address, resolve)
    })
    this.#port = (server.address() as AddressInfo).port
  }

  /** Refuses new links and drops all present ones, as a crash does. */
  async stop (): Promise<void> {
    const server = this.#server
    this.#server = undefined
    const closed = new Promise<void>((resolve) => { server === undefined ? resolve() : server.close(() => { resolve() }) })
    for (const link of this.#links) link.destroy()
    await closed
  }

  async close (): Promise<void> {
    this.#unwatch()
    clearInterval(this.#beat)
    await this.stop()
  }

  #accept (socket: Socket): void {
    const { member, faults, computeLatencyMs } = this.#options
    const link: ReplicationLink = ReplicationLink.create({
      socket,
      local: member.name,
      faults,
      computeLatencyMs,
      handleMessage: (message) => { this.#handle(link, message) },
      handleClose: () => {
        this.#links.delete(link)
        this.#followers.delete(link)
      }
    })
    this.#links.add(link)
  }

  #handle (link: ReplicationLink, message: ReplicationMessage): void {
    if (message.type === 'follow') this.#addFollower(link, message)
    else if (message.type === 'ack') this.#confirm(link, message.position)
    else if (message.type === 'stale') this.#options.member.hearTerm(message.term)
  }

  #addFollower (link: ReplicationLink, { term, history, position }: ReplicationMessage & { type: 'follow' }): void {
    const { member } = this.#options
    member.hearTerm(term)
    if (member.role !== 'primary' || member.promisedTerm !== term) {
      link.send({ type: 'refuse' })
      return
    }
    const common = findCommonPosition({ history, position }, { history: member.listHistory(), position: member.last.position })
    this.#followers.set(link, { link, term, sent: common, confirmed: common })
    link.send({ type: 'accept', position: common })
    this.#schedule()
  }

  #confirm (link: ReplicationLink, position: number): void {
    const follower = this.#followers.get(link)
    if (follower === undefined) return
    follower.confirmed = Math.max(follower.confirmed, position)
    this.#schedule()
  }

  /** Entries of one event-loop turn leave together. */
  #schedule (): void {
    if (this.#scheduled || this.#followers.size === 0) return
    this.#scheduled = true
    setImmediate(() => {
      this.#scheduled = false
      for (const follower of this.#followers.values()) this.#sendEntries(follower)
    })
  }

  #sendEntries (follower: Follower): void {
    const { member } = this.#options
    if (member.role !== 'primary' || member.promisedTerm !== follower.term) {
      follower.link.destroy()
      return
    }
    while (follower.sent < member.last.position && follower.sent - follower.confirmed < WINDOW_ENTRIES) {
      const { bytes, count } = this.#encodeBatch(follower)
      follower.link.sendBytes(bytes)
      follower.sent += count
    }
  }

  #encodeBatch ({ link, term, sent }: Follower): { bytes: Buffer, count: number } {
    const { member } = this.#options
    const expected = Math.min(BATCH_ENTRIES, member.last.position - sent)
    const known = this.#batch
    if (known?.term === term && known.after === sent && known.count === expected) return known
    const entries = member.readEntries(sent, BATCH_ENTRIES)
    this.#batch = { term, after: sent, count: entries.length, bytes: link.encode({ type: 'entries', after: sent, entries: entries.map(encodeEntry) }) }
    return this.#batch
  }

  #sendBeats (): void {
    for (const { link } of this.#followers.values()) {
      if (!link.isHolding) link.send({ type: 'beat' })
    }
  }
}
