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

export type PingResponse = z.infer<typeof hostPing.result>

interface CreateOptions {
  record: HostRecord
  hello: PeerHello
  clock: Clock
  logger: Logger
  handlePingResponse: (link: PeerLink, response: PingResponse, sentAt: number) => void
}

/** Links whose loss or updates this host must act on immediately: those to relays and to owners for which it is a standby. */
const WATCHED_PING_INTERVAL_MS = 500
/** Responses to calls show that other links work; frequent pings to every owner would grow with hosts times owners. */
const UNWATCHED_PING_INTERVAL_MS = 3000
/** A link counts as watched for this long after the last call of `watch`, which watchers repeat every 500 ms or slightly later. */
const WATCH_DURATION_MS = 1500
/** The link is pinged when nothing arrives for this long during a call. Several round trips, and less than the timeout of a ping. */
const SUSPICION_TIMEOUT_MS = 250
/** Several round trips between regions. Needed because an open connection may be unresponsive forever. */
const PING_TIMEOUT_MS = 400
const CONNECT_TIMEOUT_MS = 300
const RECONNECT_DELAY_MS = 500
/** A link that has been unused for this long is closed. */
const IDLE_TIMEOUT_MS = 20_000
const RTT_SMOOTHING_FACTOR = 0.2

/** Connection of this host to one other, for its own calls. It is opened on first use and reopened until it is idle. */
export class PeerLink {
  readonly #record: HostRecord
  readonly #hello: PeerHello
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #handlePingResponse: CreateOptions['handlePingResponse']
  #connection: PeerConnection | undefined
  #opening: Promise<void> | undefined
  #lastUsedAt = -Infinity
  #unreachableSince: number | undefined
  #timer: NodeJS.Timeout | undefined
  #suspicionTimer: NodeJS.Timeout | undefined
  #watchedAt = -Infinity
  #isPinging = false
  #isRefreshDue = false
  #isClosed = false
  #roundTripMs: number | undefined

  private constructor ({ record, hello, clock, logger, handlePingResponse }: CreateOptions) {
    this.#record = record
    this.#hello = hello
    this.#clock = clock
    this.#logger = logger
    this.#handlePingResponse = handlePingResponse
  }

  static create (options: CreateOptions): PeerLink {
    return new PeerLink(options)
  }

  get record (): HostRecord { return this.#record }
  get isUp (): boolean { return this.#connection?.isOpen === true }
  get roundTripMs (): number | undefined { return this.#roundTripMs }

  /** Time in ms since the host became unreachable; 0 while it is reachable, or when the link is idle and nothing tries to connect. */
  readDownMs (): number {
    return this.#unreachableSince === undefined ? 0 : this.#clock.readTime() - this.#unreachableSince
  }

  /** Returns whether the link can carry a call now. Waits up to `CONNECT_TIMEOUT_MS`, and at most `timeLeftMs`, for a first connection. */
  async prepare (timeLeftMs = CONNECT_TIMEOUT_MS): Promise<boolean> {
    this.#lastUsedAt = this.#clock.readTime()
    if (this.isUp) return true
    if (this.#unreachableSince !== undefined) return false
    this.#opening ??= this.#open()
    await Promise.race([this.#opening, new Promise((resolve) => setTimeout(resolve, Math.min(timeLeftMs, CONNECT_TIMEOUT_MS)))])
    return this.isUp
  }

  /** Opens the link and pings it often, to detect its loss without calls. Lasts `WATCH_DURATION_MS`, so callers repeat it. */
  watch (): void {
    const now = this.#clock.readTime()
    const wasWatched = now - this.#watchedAt <= WATCH_DURATION_MS
    this.#watchedAt = now
    if (!this.isUp) void this.prepare()
    else if (!wasWatched) void this.#ping()
    else this.#lastUsedAt = now
  }

  /** Pings immediately, since earlier responses are not valid any more. */
  refresh (): void {
    this.#isRefreshDue = this.#isPinging
    if (!this.#isPinging) void this.#ping()
  }

  async request<Params extends z.ZodType, Result extends z.ZodType> (
    definition: MethodDefinition<Params, Result>, params: z.input<Params>, timeoutMs: number
  ): Promise<z.infer<Result>> {
    this.#lastUsedAt = this.#clock.readTime()
    if (this.#connection === undefined) throw TanagerusherError.create('peer-failed', { details: { peer: this.#record.host, reason: 'not connected' } })
    this.#startSuspicionTimer(this.#connection)
    return await this.#connection.request(definition, params, timeoutMs)
  }

  get connection (): PeerConnection | undefined { return this.#connection }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#timer)
    clearTimeout(this.#suspicionTimer)
    this.#connection?.destroy()
  }

  /** Pings when nothing arrives after a call, since an open connection may have become unresponsive. */
  #startSuspicionTimer (connection: PeerConnection): void {
    if (this.#suspicionTimer !== undefined) return
    const { bytesReceived } = connection
    this.#suspicionTimer = setTimeout(() => {
      this.#suspicionTimer = undefined
      if (this.#connection === connection && connection.bytesReceived === bytesReceived) void this.#ping()
    }, SUSPICION_TIMEOUT_MS)
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
      // The address may have been reassigned to another host, so the name in its hello is checked.
      const remote = await connection.remoteHello
      if (remote.host !== this.#record.host) throw new Error(`the address of ${this.#record.host} belongs to host ${remote.host}`)
      if (this.#unreachableSince !== undefined) this.#logger.info('peer regained', { peer: this.#record.host, downMs: Math.round(this.readDownMs()) })
      this.#unreachableSince = undefined
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
      const response = await connection.request(hostPing, {}, PING_TIMEOUT_MS)
      const roundTripMs = this.#clock.readTime() - sentAt
      this.#roundTripMs = this.#roundTripMs === undefined ? roundTripMs : this.#roundTripMs + (roundTripMs - this.#roundTripMs) * RTT_SMOOTHING_FACTOR
      this.#handlePingResponse(this, response, sentAt)
    } catch (error) {
      this.#isPinging = false
      // The response to a ping may be queued behind a large message; a link on which bytes arrive is not lost.
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
    } else if (now - this.#lastUsedAt > IDLE_TIMEOUT_MS) connection.close()
    else this.#timer = setTimeout(() => { void this.#ping() }, now - this.#watchedAt <= WATCH_DURATION_MS ? WATCHED_PING_INTERVAL_MS : UNWATCHED_PING_INTERVAL_MS)
  }

  #handleFailure (reason: string): void {
    if (this.#isClosed) return
    const isFirst = this.#unreachableSince === undefined
    if (isFirst) this.#logger.warn('peer lost', { peer: this.#record.host, reason })
    this.#unreachableSince ??= this.#clock.readTime()
    this.#connection?.destroy()
    this.#connection = undefined
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => { this.#reopen() }, isFirst ? 0 : RECONNECT_DELAY_MS)
  }

  #handleClosed (connection: PeerConnection): void {
    if (this.#connection !== connection) return
    this.#connection = undefined
    if (this.#clock.readTime() - this.#lastUsedAt <= IDLE_TIMEOUT_MS) this.#handleFailure('connection closed')
  }

  #reopen (): void {
    if (this.#isClosed || this.#connection !== undefined) return
    if (this.#clock.readTime() - this.#lastUsedAt > IDLE_TIMEOUT_MS) {
      this.#unreachableSince = undefined
      return
    }
    this.#opening ??= this.#open()
  }
}
