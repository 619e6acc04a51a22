import type { Clock } from '@tanagerusher/coordination/common/clock'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { hostPing } from '@tanagerusher/protocol/peer/host-ping'
import type { PeerHello } from '@tanagerusher/protocol/peer/peer-hello'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import { openPeerConnection } from '@tanagerusher/transport/peer/open-peer-connection'
import type { PeerConnection } from '@tanagerusher/transport/peer/peer-connection'
import type { Logger } from 'winston'
import type { z } from 'zod'

interface MethodDefinition<Params extends z.ZodType, Result extends z.ZodType> {
  readonly method: string
  readonly params: Params
  readonly result: Result
}

export type PingAnswer = z.infer<typeof hostPing.result>

interface CreateOptions {
  record: HostRecord
  hello: PeerHello
  clock: Clock
  logger: Logger
  handlePing: (link: PeerLink, answer: PingAnswer, sentAt: number) => void
}

/** Links whose loss or news decides something at once: those to relays and to owners that this host stands in for. */
const WATCHED_PING_MS = 500
/** Other links prove themselves by the answers to calls; with a ping to every owner the pings grow with hosts times owners. */
const UNWATCHED_PING_MS = 3000
/** A link counts as watched for so long after it was last asked for as such; asked for every 500 ms at most. */
const WATCHED_FOR_MS = 1500
/** A call during which nothing arrives for so long is a reason to ping: some round trips, and less than a ping's own time. */
const SUSPICION_MS = 250
/** Some round trips between regions; an open connection may be silent for good. */
const PING_TIMEOUT_MS = 400
const CONNECT_WAIT_MS = 300
const RECONNECT_AFTER_MS = 500
/** A link that nobody asked for so long is closed. */
const IDLE_MS = 20_000
const RTT_SMOOTHING = 0.2

/** The connection of this host to one other, for its own calls. It is opened when first wanted and reopened while it is. */
export class PeerLink {
  readonly #record: HostRecord
  readonly #hello: PeerHello
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #handlePing: CreateOptions['handlePing']
  #connection: PeerConnection | undefined
  #opening: Promise<void> | undefined
  #wantedAt = -Infinity
  #downSince: number | undefined
  #timer: NodeJS.Timeout | undefined
  #suspicion: NodeJS.Timeout | undefined
  #watchedAt = -Infinity
  #isPinging = false
  #isRefreshDue = false
  #isClosed = false
  #roundTripMs: number | undefined

  private constructor ({ record, hello, clock, logger, handlePing }: CreateOptions) {
    this.#record = record
    this.#hello = hello
    this.#clock = clock
    this.#logger = logger
    this.#handlePing = handlePing
  }

  static create (options: CreateOptions): PeerLink {
    return new PeerLink(options)
  }

  get record (): HostRecord { return this.#record }
  get isUp (): boolean { return this.#connection?.isOpen === true }
  get roundTripMs (): number | undefined { return this.#roundTripMs }

  /** Time for which the host has not been reached; 0 while it is, or when nobody tried. */
  readDownMs (): number {
    return this.#downSince === undefined ? 0 : this.#clock.readTime() - this.#downSince
  }

  /** Whether the link can carry a call now, after a short wait for a first connection. */
  async prepare (): Promise<boolean> {
    this.#wantedAt = this.#clock.readTime()
    if (this.isUp) return true
    if (this.#downSince !== undefined) return false
    this.#opening ??= this.#open()
    await Promise.race([this.#opening, new Promise((resolve) => setTimeout(resolve, CONNECT_WAIT_MS))])
    return this.isUp
  }

  /** Opens the link and finds its loss soon, also without calls; repeated while that is needed. */
  watch (): void {
    const now = this.#clock.readTime()
    const wasWatched = now - this.#watchedAt <= WATCHED_FOR_MS
    this.#watchedAt = now
    if (!this.isUp) void this.prepare()
    else if (!wasWatched) void this.#ping()
    else this.#wantedAt = now
  }

  /** Pings at once: what earlier answers proved counts no more. */
  refresh (): void {
    this.#isRefreshDue = this.#isPinging
    if (!this.#isPinging) void this.#ping()
  }

  async request<Params extends z.ZodType, Result extends z.ZodType> (
    definition: MethodDefinition<Params, Result>, params: z.input<Params>, timeoutMs: number
  ): Promise<z.infer<Result>> {
    this.#wantedAt = this.#clock.readTime()
    if (this.#connection === undefined) throw TanagerusherError.create('peer-failed', { details: { peer: this.#record.host, reason: 'not connected' } })
    this.#suspect(this.#connection)
    return await this.#connection.request(definition, params, timeoutMs)
  }

  get connection (): PeerConnection | undefined { return this.#connection }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
    clearTimeout(this.#suspicion)
    this.#connection?.destroy()
  }

  /** Pings when a call stays without any answer, since an open connection may have fallen silent. */
  #suspect (connection: PeerConnection): void {
    if (this.#suspicion !== undefined) return
    const { bytesReceived } = connection
    this.#suspicion = setTimeout(() => {
      this.#suspicion = undefined
      if (this.#connection === connection && connection.bytesReceived === bytesReceived) void this.#ping()
    }, SUSPICION_MS)
  }

  async #open (): Promise<void> {
    try {
      const connection = await openPeerConnection({ host: this.#record.address, port: this.#record.port, hello: this.#hello })
      if (this.#isClosed) {
        connection.destroy()
        return
      }
      this.#connection = connection
      void connection.closed.then(() => { this.#handleClosed(connection) })
      // An address may belong to another host by now; its name tells.
      const remote = await connection.remoteHello
      if (remote.host !== this.#record.host) throw new Error(`address of ${this.#record.host} answers as ${remote.host}`)
      if (this.#downSince !== undefined) this.#logger.info('peer regained', { peer: this.#record.host, downMs: Math.round(this.readDownMs()) })
      this.#downSince = undefined
      await this.#ping()
    } catch (error) {
      this.#handleFailure(String((error as Error).message))
    } finally {
      this.#opening = undefined
    }
  }

  async #ping (): Promise<void> {
    const connection = this.#connection
    if (connection === undefined || this.#isClosed || this.#isPinging) return
    this.#isPinging = true
    clearTimeout(this.#timer)
    const sentAt = this.#clock.readTime()
    const { bytesReceived } = connection
    try {
      const answer = await connection.request(hostPing, {}, PING_TIMEOUT_MS)
      const roundTripMs = this.#clock.readTime() - sentAt
      this.#roundTripMs = this.#roundTripMs === undefined ? roundTripMs : this.#roundTripMs + (roundTripMs - this.#roundTripMs) * RTT_SMOOTHING
      this.#handlePing(this, answer, sentAt)
    } catch (error) {
      this.#isPinging = false
      // The answer to a ping may wait behind a large message; a link on which bytes arrive is not silent.
      if (!connection.isOpen || connection.bytesReceived === bytesReceived) {
        this.#handleFailure(`ping: ${String((error as Error).message)}`)
        return
      }
    }
    this.#isPinging = false
    if (this.#connection !== connection) return
    const now = this.#clock.readTime()
    if (this.#isRefreshDue) {
      this.#isRefreshDue = false
      void this.#ping()
    } else if (now - this.#wantedAt > IDLE_MS) connection.close()
    else this.#timer = setTimeout(() => { void this.#ping() }, now - this.#watchedAt <= WATCHED_FOR_MS ? WATCHED_PING_MS : UNWATCHED_PING_MS)
  }

  #handleFailure (reason: string): void {
    if (this.#isClosed) return
    const isFirst = this.#downSince === undefined
    if (isFirst) this.#logger.warn('peer lost', { peer: this.#record.host, reason })
    this.#downSince ??= this.#clock.readTime()
    this.#connection?.destroy()
    this.#connection = undefined
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => { this.#reopen() }, isFirst ? 0 : RECONNECT_AFTER_MS)
  }

  #handleClosed (connection: PeerConnection): void {
    if (this.#connection !== connection) return
    this.#connection = undefined
    if (this.#clock.readTime() - this.#wantedAt <= IDLE_MS) this.#handleFailure('connection closed')
  }

  #reopen (): void {
    if (this.#isClosed || this.#connection !== undefined) return
    if (this.#clock.readTime() - this.#wantedAt > IDLE_MS) {
      this.#downSince = undefined
      return
    }
    this.#opening ??= this.#open()
  }
}
