import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamConnector, UpstreamOpenResult } from '@tanagerusher/coordination/common/upstream-connector'
import type { UpstreamTarget } from '@tanagerusher/coordination/common/upstream-target'
import { ConnectionCap } from '@tanagerusher/coordination/fairness/connection-cap'
import { ConnectionSetup } from '@tanagerusher/coordination/transaction/connection-setup'
import { planConnection } from '@tanagerusher/coordination/transaction/plan-connection'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { PooledConnection } from './pooled-connection.js'

export type Acquisition =
  | { type: 'acquired', pooled: PooledConnection }
  | { type: 'refused', failure: StatementFailure, text: string }
  | { type: 'unreachable', reason: string }

interface AcquireOptions {
  organisation: string
  values?: ReadonlyArray<[string, string]>
  /** Prepared statement that the work executes. */
  needed?: UpstreamExecuteParams['needed']
  timeoutMs: number
}

interface Waiter {
  options: AcquireOptions
  timer: NodeJS.Timeout
  resolve: (acquisition: Acquisition) => void
}

interface CreateOptions {
  /** Called when a connection may be idle or may be opened, and no request waits for one. */
  handleConnectionAvailable: () => void
  record: UpstreamRecord
  connector: UpstreamConnector
  clock: Clock
  logger: Logger
}

/** Far above a round trip between regions and the set-up time of a connection on a busy database. */
const OPEN_TIMEOUT_MS = 1000

/** Pool of the connections of this host to one database. A request holds a connection for as long as it works on it. */
export class ConnectionPool {
  readonly #record: UpstreamRecord
  readonly #connector: UpstreamConnector
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #connections = new Set<PooledConnection>()
  readonly #openingCounts = new Map<string, number>()
  readonly #handleConnectionAvailable: () => void
  #waiters: Waiter[] = []
  readonly #cap = ConnectionCap.create()
  #growTimer: NodeJS.Timeout | undefined
  #limit = 0
  #isClosed = false

  private constructor ({ record, connector, clock, logger, handleConnectionAvailable }: CreateOptions) {
    this.#handleConnectionAvailable = handleConnectionAvailable
    this.#record = record
    this.#connector = connector
    this.#clock = clock
    this.#logger = logger
  }

  static create (options: CreateOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  get size (): number { return this.#connections.size }
  get limit (): number { return this.#limit }

  updateLimit (limit: number): void {
    this.#limit = limit
    const idle = [...this.#connections].filter(({ isIdle }) => isIdle).sort((left, right) => left.usedAt - right.usedAt)
    for (const pooled of idle.slice(0, Math.max(0, this.#connections.size - limit))) this.#closeConnection(pooled)
    this.#serveWaiters()
  }

  /** Prefers connections that hold the values and the prepared statement of the session, which need no round trip before the statement. */
  async acquire (options: AcquireOptions): Promise<Acquisition> {
    if (this.#isClosed) return { type: 'unreachable', reason: 'the host gave the database up' }
    const idle = this.#takeIdle(options)
    if (idle !== undefined) return { type: 'acquired', pooled: idle }
    return await new Promise((resolve) => {
      const timer = setTimeout(() => { this.#handleWaitTimeout(waiter) }, options.timeoutMs)
      const waiter: Waiter = { options, timer, resolve }
      this.#waiters.push(waiter)
      this.#serveWaiters()
    })
  }

  /** Whether a request of the organisation would get a connection without waiting for another request to release one. */
  hasCapacity (organisation: string): boolean {
    if (this.#isClosed) return true
    let count = this.#waiters.length
    for (const { isIdle, organisation: owner } of this.#connections) {
      if (!isIdle) count++
      else if (owner === organisation) return true
    }
    return count < this.#cap.computeLimit(this.#limit, this.#clock.readTime())
  }

  /** Takes an idle connection of any organisation without waiting; undefined when there is none. */
  acquireAnyIdle (): PooledConnection | undefined {
    for (const pooled of this.#connections) {
      if (!pooled.isIdle) continue
      pooled.isIdle = false
      return pooled
    }
    return undefined
  }

  /** Makes a connection available again, or closes it unless the database's last response shows that no transaction is open on it. */
  release (pooled: PooledConnection): void {
    pooled.usedAt = this.#clock.readTime()
    if (this.#isClosed || this.#connections.size > this.#limit) this.#closeConnection(pooled)
    else this.#updateIdle(pooled)
    this.#serveWaiters()
  }

  /** Closes a connection whose state is uncertain; the database rolls back a transaction that is open on it. */
  discard (pooled: PooledConnection): void {
    this.#closeConnection(pooled)
    this.#serveWaiters()
  }

  /** Closes the idle connections that have not been used since `time`. */
  closeIdleUnusedSince (time: number): void {
    for (const pooled of this.#connections) if (pooled.isIdle && pooled.usedAt < time) this.#closeConnection(pooled)
    this.#serveWaiters()
  }

  /** Refuses the requests that wait for a connection. */
  stopWaiting (): void {
    for (const waiter of this.#removeWaiters(() => true)) waiter.resolve({ type: 'refused', failure: 'busy', text: 'the owner of the connections stops' })
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#growTimer)
    for (const pooled of this.#connections) if (pooled.isIdle) this.#closeConnection(pooled)
    for (const waiter of this.#removeWaiters(() => true)) waiter.resolve({ type: 'unreachable', reason: 'the host gave the database up' })
  }

  #takeIdle ({ organisation, values = [], needed }: AcquireOptions): PooledConnection | undefined {
    let withValues: PooledConnection | undefined
    let other: PooledConnection | undefined
    for (const pooled of this.#connections) {
      if (!pooled.isIdle || pooled.organisation !== organisation || !pooled.connection.isOpen) continue
      if (!pooled.setup.hasValues(values)) other = pooled
      else {
        withValues = pooled
        if (needed === undefined || pooled.setup.hasPrepared(needed)) break
      }
    }
    const found = withValues ?? other
    if (found !== undefined) found.isIdle = false
    return found
  }

  #serveWaiters (): void {
    for (const waiter of [...this.#waiters]) {
      const pooled = this.#takeIdle(waiter.options)
      if (pooled !== undefined) {
        this.#removeWaiter(waiter)
        waiter.resolve({ type: 'acquired', pooled })
        continue
      }
      this.#openIfAllowed(waiter.options.organisation)
    }
    if (this.#waiters.length === 0) this.#handleConnectionAvailable()
  }

  #openIfAllowed (organisation: string): void {
    const waiting = this.#waiters.filter(({ options }) => options.organisation === organisation).length
    const plan = planConnection({ organisation, connections: [...this.#connections], opening: this.#openingCounts, waiting, limit: this.#cap.computeLimit(this.#limit, this.#clock.readTime()) })
    if (plan.type === 'wait') return
    if (plan.type === 'replace') this.#closeConnection(plan.victim)
    void this.#open(organisation)
  }

  async #open (organisation: string): Promise<void> {
    this.#openingCounts.set(organisation, (this.#openingCounts.get(organisation) ?? 0) + 1)
    const { id, group, address } = this.#record
    const opening = await this.#connect({ id, group, address, organisation })
    this.#openingCounts.set(organisation, (this.#openingCounts.get(organisation) as number) - 1)
    if (opening.type === 'opened') {
      const pooled: PooledConnection = { connection: opening.connection, organisation, setup: ConnectionSetup.create(), isIdle: false, usedAt: this.#clock.readTime() }
      this.#connections.add(pooled)
      opening.connection.onClose(() => { this.#removeClosed(pooled) })
      if (this.#isClosed) this.#closeConnection(pooled)
      else this.#updateIdle(pooled)
    } else if (opening.type === 'refused' && opening.failure === 'connection-limit' && !this.#isClosed) {
      this.#logger.warn('connection refused', { database: id, organisation, held: this.#connections.size, ...opening })
      this.#cap.recordRefusal(this.#connections.size, this.#clock.readTime())
      this.#startGrowTimer()
    } else {
      this.#logger.warn('connection refused', { database: id, organisation, ...opening })
      for (const waiter of this.#removeWaiters(({ options }) => options.organisation === organisation)) waiter.resolve(opening)
    }
    this.#serveWaiters()
  }

  /** A connector that throws, as for an address that the operating system rejects, must not end the process or leave the waiters waiting. */
  async #connect (target: UpstreamTarget): Promise<UpstreamOpenResult> {
    try {
      return await this.#connector.open(target, OPEN_TIMEOUT_MS)
    } catch (error) {
      return { type: 'unreachable', reason: String((error as Error).message) }
    }
  }

  /**
   * Serves the waiters again each time the cap grows. They keep waiting while the database refuses further connections, since one
   * may become idle in the meantime.
   */
  #startGrowTimer (): void {
    clearTimeout(this.#growTimer)
    const stepMs = this.#isClosed ? undefined : this.#cap.findNextStepMs(this.#limit, this.#clock.readTime())
    if (stepMs === undefined) return
    this.#growTimer = setTimeout(() => {
      this.#serveWaiters()
      this.#startGrowTimer()
    }, stepMs)
  }

  #updateIdle (pooled: PooledConnection): void {
    const { connection: { isOpen, transactionState }, organisation } = pooled
    pooled.isIdle = isOpen && transactionState === 'idle'
    if (pooled.isIdle) return
    if (isOpen) this.#logger.warn('connection closed because its database did not report it as idle', { database: this.#record.id, organisation, state: transactionState })
    this.#closeConnection(pooled)
  }

  #removeClosed (pooled: PooledConnection): void {
    if (this.#connections.delete(pooled)) this.#serveWaiters()
  }

  #closeConnection (pooled: PooledConnection): void {
    this.#connections.delete(pooled)
    pooled.isIdle = false
    pooled.connection.close()
  }

  #handleWaitTimeout (waiter: Waiter): void {
    this.#removeWaiter(waiter)
    waiter.resolve({ type: 'refused', failure: 'busy', text: 'no connection was free in time' })
  }

  #removeWaiter (waiter: Waiter): void {
    clearTimeout(waiter.timer)
    this.#waiters = this.#waiters.filter((other) => other !== waiter)
  }

  #removeWaiters (isWanted: (waiter: Waiter) => boolean): Waiter[] {
    const taken = this.#waiters.filter(isWanted)
    for (const waiter of taken) this.#removeWaiter(waiter)
    return taken
  }
}
