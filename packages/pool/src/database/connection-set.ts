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
  /** A connection has become idle. */
  handleIdle: () => void
  handleClosed: (connection: PooledConnection) => void
  /** Nothing can be opened and nothing is open. */
  handleUnreachable: (reason: string) => void
}

const CONNECT_TIMEOUT_MS = 2000

/** The upstream connections of one database: opens them ahead of need and hands out idle ones. */
export class ConnectionSet {
  readonly #options: CreateOptions
  readonly #budget: ConnectionBudget
  readonly #all = new Set<PooledConnection>()
  #idle: PooledConnection[] = []
  #opening = 0
  #closing = 0
  #isClosed = false
  #retry: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#budget = ConnectionBudget.create({ limit: options.limit, slots: options.slots })
  }

  static create (options: CreateOptions): ConnectionSet {
    return new ConnectionSet(options)
  }

  get idle (): number { return this.#idle.length }
  get isClosed (): boolean { return this.#isClosed }
  get size (): number { return this.#all.size }

  [Symbol.iterator] (): IterableIterator<PooledConnection> {
    return this.#all.values()
  }

  /** Prefers a connection that is already read-only, or already writable, as the work wants it. */
  take (readOnly: boolean): PooledConnection | undefined {
    const index = this.#idle.findLastIndex((connection) => connection.isReadOnly === readOnly)
    const connection = index < 0 ? this.#idle.pop() : this.#idle.splice(index, 1)[0]
    return connection
  }

  putBack (connection: PooledConnection): void {
    if (!this.#all.has(connection)) return
    if (this.#isClosed || this.#budget.isSurplus(this.#count())) {
      this.#all.delete(connection)
      connection.upstream.close()
      return
    }
    this.#idle.push(connection)
    this.#options.handleIdle()
  }

  /** Opens what the budget allows. */
  fill (): void {
    if (this.#isClosed) return
    const wanted = this.#budget.computeOpenings(this.#count(), this.#options.clock.readTime())
    for (let opened = 0; opened < wanted; opened++) void this.#open()
  }

  /** Closes idle connections now and the others as they are put back. */
  close (): void {
    this.#isClosed = true
    clearTimeout(this.#retry)
    for (const connection of this.#idle) {
      this.#all.delete(connection)
      connection.upstream.close()
    }
    this.#idle = []
  }

  /** Takes connections up again after `close`. */
  reopen (): void {
    this.#isClosed = false
    this.fill()
  }

  destroy (): void {
    this.close()
    for (const connection of this.#all) connection.destroy()
  }

  #count (): { busy: number, idle: number, opening: number, closing: number } {
    return {
      busy: this.#all.size - this.#idle.length,
      idle: this.#idle.length,
      opening: this.#opening,
      closing: this.#closing
    }
  }

  async #open (): Promise<void> {
    this.#opening++
    try {
      const { address, applicationName } = this.#options
      const connection = await PooledConnection.open({ address, applicationName, timeoutMs: CONNECT_TIMEOUT_MS })
      this.#opening--
      this.#budget.recordOpened()
      this.#add(connection)
    } catch (error) {
      this.#opening--
      this.#handleFailure(String((error as Error).message))
    }
  }

  #add (connection: PooledConnection): void {
    this.#all.add(connection)
    void connection.upstream.closed.then(() => { this.#remove(connection) })
    this.putBack(connection)
  }

  #remove (connection: PooledConnection): void {
    this.#all.delete(connection)
    this.#idle = this.#idle.filter((other) => other !== connection)
    this.#options.handleClosed(connection)
    this.fill()
  }

  #handleFailure (reason: string): void {
    const now = this.#options.clock.readTime()
    this.#budget.recordFailure(now)
    if (this.#isClosed) return
    if (this.#all.size === 0) this.#options.handleUnreachable(reason)
    clearTimeout(this.#retry)
    this.#retry = setTimeout(() => { this.fill() }, Math.max(1, (this.#budget.findNextDeadline() ?? now) - now))
  }
}
