import type { Clock } from '@tanagerusher/coordination/common/clock'
import { ConnectionBudget } from '@tanagerusher/coordination/fairness/connection-budget'
import type { Logger } from 'winston'
import type { UpstreamAddress } from '../upstream/upstream-address.js'
import { PooledConnection } from './pooled-connection.js'

interface CreateOptions {
  address: UpstreamAddress
  applicationName: string
  limit: number
  slots: number
  clock: Clock
  logger: Logger
  /** Called when a connection becomes idle. */
  handleIdle: () => void
  handleClosed: (connection: PooledConnection) => void
  /** Called when no connection is open and an attempt to open one failed. */
  handleUnreachable: (reason: string) => void
}

const CONNECT_TIMEOUT_MS = 2000

/** Connection pool of one database. Opens connections before they are needed. */
export class ConnectionPool {
  readonly #options: CreateOptions
  readonly #budget: ConnectionBudget
  readonly #connections = new Set<PooledConnection>()
  #idle: PooledConnection[] = []
  #openingCount = 0
  #closingCount = 0
  #isClosed = false
  #retryTimer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#budget = ConnectionBudget.create({ limit: options.limit, slots: options.slots })
  }

  static create (options: CreateOptions): ConnectionPool {
    return new ConnectionPool(options)
  }

  get idleCount (): number { return this.#idle.length }
  get isClosed (): boolean { return this.#isClosed }
  get size (): number { return this.#connections.size }

  [Symbol.iterator] (): IterableIterator<PooledConnection> {
    return this.#connections.values()
  }

  /** Takes an idle connection, preferably one whose session already has the wanted read-only setting. */
  take (readOnly: boolean): PooledConnection | undefined {
    const index = this.#idle.findLastIndex((connection) => connection.isReadOnly === readOnly)
    const connection = index < 0 ? this.#idle.pop() : this.#idle.splice(index, 1)[0]
    return connection
  }

  release (connection: PooledConnection): void {
    if (!this.#connections.has(connection)) return
    if (this.#isClosed || this.#budget.isSurplus(this.#countByState())) {
      this.#connections.delete(connection)
      connection.upstream.close()
      return
    }
    this.#idle.push(connection)
    this.#options.handleIdle()
  }

  /** Opens the missing connections, as far as the connection budget allows. */
  openMissing (): void {
    if (this.#isClosed) return
    const openings = this.#budget.computeOpenings(this.#countByState(), this.#options.clock.readTime())
    for (let opened = 0; opened < openings; opened++) void this.#open()
  }

  /** Closes idle connections immediately and the others when they are released. */
  close (): void {
    this.#isClosed = true
    clearTimeout(this.#retryTimer)
    for (const connection of this.#idle) {
      this.#connections.delete(connection)
      connection.upstream.close()
    }
    this.#idle = []
  }

  /** Opens connections again after `close`. */
  reopen (): void {
    this.#isClosed = false
    this.openMissing()
  }

  destroy (): void {
    this.close()
    for (const connection of this.#connections) connection.destroy()
  }

  #countByState (): { busy: number, idle: number, opening: number, closing: number } {
    return {
      busy: this.#connections.size - this.#idle.length,
      idle: this.#idle.length,
      opening: this.#openingCount,
      closing: this.#closingCount
    }
  }

  async #open (): Promise<void> {
    this.#openingCount++
    try {
      const { address, applicationName } = this.#options
      const connection = await PooledConnection.open({ address, applicationName, timeoutMs: CONNECT_TIMEOUT_MS })
      this.#openingCount--
      this.#budget.recordOpened()
      this.#add(connection)
    } catch (error) {
      this.#openingCount--
      this.#handleFailure(String((error as Error).message))
    }
  }

  #add (connection: PooledConnection): void {
    this.#connections.add(connection)
    void connection.upstream.closed.then(() => { this.#remove(connection) })
    this.release(connection)
  }

  #remove (connection: PooledConnection): void {
    this.#connections.delete(connection)
    this.#idle = this.#idle.filter((other) => other !== connection)
    this.#options.handleClosed(connection)
    this.openMissing()
  }

  #handleFailure (reason: string): void {
    const now = this.#options.clock.readTime()
    this.#budget.recordFailure(now)
    if (this.#isClosed) return
    if (this.#connections.size === 0) this.#options.handleUnreachable(reason)
    clearTimeout(this.#retryTimer)
    this.#retryTimer = setTimeout(() => { this.openMissing() }, Math.max(1, (this.#budget.findNextDeadline() ?? now) - now))
  }
}
