import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamConnector } from '@tanagerusher/coordination/common/upstream-connector'
import { ConnectionCap } from '@tanagerusher/coordination/fairness/connection-cap'
import { ConnectionSetup } from '@tanagerusher/coordination/transaction/connection-setup'
import { planConnection } from '@tanagerusher/coordination/transaction/plan-connection'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { HeldConnection } from './held-connection.js'

export type Acquisition =
  | { type: 'acquired', held: HeldConnection }
  | { type: 'refused', failure: StatementFailure, text: string }
  | { type: 'unreachable', reason: string }

interface Waiter {
  organisation: string
  values: ReadonlyArray<[string, string]>
  timer: NodeJS.Timeout
  resolve: (acquisition: Acquisition) => void
}

interface CreateOptions {
  /** A connection became free, or there is room for one. */
  handleFree: () => void
  record: UpstreamRecord
  connector: UpstreamConnector
  clock: Clock
  logger: Logger
}

/** Far above a round trip between regions and the set-up time of a connection on a busy database. */
const OPEN_TIMEOUT_MS = 1000

/** Connections of this host to one database. It owns them; a request gets one for as long as it works on it. */
export class ConnectionSet {
  readonly #record: UpstreamRecord
  readonly #connector: UpstreamConnector
  readonly #clock: Clock
  readonly #logger: Logger
  readonly #connections = new Set<HeldConnection>()
  readonly #opening = new Map<string, number>()
  readonly #handleFree: () => void
  #waiters: Waiter[] = []
  readonly #cap = ConnectionCap.create()
  #growTimer: NodeJS.Timeout | undefined
  #limit = 0
  #isClosed = false

  private constructor ({ record, connector, clock, logger, handleFree }: CreateOptions) {
    this.#handleFree = handleFree
    this.#record = record
    this.#connector = connector
    this.#clock = clock
    this.#logger = logger
  }

  static create (options: CreateOptions): ConnectionSet {
    return new ConnectionSet(options)
  }

  get size (): number { return this.#connections.size }
  get limit (): number { return this.#limit }

  updateLimit (limit: number): void {
    this.#limit = limit
    const idle = [...this.#connections].filter(({ isIdle }) => isIdle).sort((left, right) => left.usedAt - right.usedAt)
    for (const held of idle.slice(0, Math.max(0, this.#connections.size - limit))) this.#drop(held)
    this.#serveWaiters()
  }

  async acquire (organisation: string, values: ReadonlyArray<[string, string]>, timeoutMs: number): Promise<Acquisition> {
    if (this.#isClosed) return { type: 'unreachable', reason: 'the host gave the database up' }
    const idle = this.#takeIdle(organisation, values)
    if (idle !== undefined) return { type: 'acquired', held: idle }
    return await new Promise((resolve) => {
      const timer = setTimeout(() => { this.#failWaiter(waiter) }, timeoutMs)
      const waiter: Waiter = { organisation, values, timer, resolve }
      this.#waiters.push(waiter)
      this.#serveWaiters()
    })
  }

  /** Whether a request of the organisation would not wait for others to free a connection. */
  hasRoom (organisation: string): boolean {
    if (this.#isClosed) return true
    let count = this.#waiters.length
    for (const { isIdle, organisation: owner } of this.#connections) {
      if (!isIdle) count++
      else if (owner === organisation) return true
    }
    return count < this.#cap.computeLimit(this.#limit, this.#clock.readTime())
  }

  /** An idle connection of any organisation, which need not wait for one. */
  acquireAnyIdle (): HeldConnection | undefined {
    for (const held of this.#connections) {
      if (!held.isIdle) continue
      held.isIdle = false
      return held
    }
    return undefined
  }

  release (held: HeldConnection): void {
    held.usedAt = this.#clock.readTime()
    held.isIdle = true
    if (!held.connection.isOpen || this.#isClosed || this.#connections.size > this.#limit) this.#drop(held)
    this.#serveWaiters()
  }

  /** Closes a connection whose state is in doubt; the database rolls back what is open on it. */
  discard (held: HeldConnection): void {
    this.#drop(held)
    this.#serveWaiters()
  }

  /** Closes the idle connections that have not answered since `time`. */
  closeIdleUnusedSince (time: number): void {
    for (const held of this.#connections) if (held.isIdle && held.usedAt < time) this.#drop(held)
    this.#serveWaiters()
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#growTimer)
    for (const held of this.#connections) if (held.isIdle) this.#drop(held)
    for (const waiter of this.#takeWaiters(() => true)) waiter.resolve({ type: 'unreachable', reason: 'the host gave the database up' })
  }

  #takeIdle (organisation: string, values: ReadonlyArray<[string, string]>): HeldConnection | undefined {
    let found: HeldConnection | undefined
    for (const held of this.#connections) {
      if (!held.isIdle || held.organisation !== organisation || !held.connection.isOpen) continue
      found = held
      if (held.setup.matches(values)) break
    }
    if (found !== undefined) found.isIdle = false
    return found
  }

  #serveWaiters (): void {
    for (const waiter of [...this.#waiters]) {
      const held = this.#takeIdle(waiter.organisation, waiter.values)
      if (held !== undefined) {
        this.#removeWaiter(waiter)
        waiter.resolve({ type: 'acquired', held })
        continue
      }
      this.#openFor(waiter.organisation)
    }
    if (this.#waiters.length === 0) this.#handleFree()
  }

  #openFor (organisation: string): void {
    const waiting = this.#waiters.filter((waiter) => waiter.organisation === organisation).length
    const plan = planConnection({ organisation, connections: [...this.#connections], opening: this.#opening, waiting, limit: this.#cap.computeLimit(this.#limit, this.#clock.readTime()) })
    if (plan.type === 'wait') return
    if (plan.type === 'replace') this.#drop(plan.victim)
    void this.#open(organisation)
  }

  async #open (organisation: string): Promise<void> {
    this.#opening.set(organisation, (this.#opening.get(organisation) ?? 0) + 1)
    const { id, group, address } = this.#record
    const opening = await this.#connector.open({ id, group, address, organisation }, OPEN_TIMEOUT_MS)
    this.#opening.set(organisation, (this.#opening.get(organisation) as number) - 1)
    if (opening.type === 'opened') {
      const held: HeldConnection = { connection: opening.connection, organisation, setup: ConnectionSetup.create(), isIdle: true, usedAt: this.#clock.readTime() }
      this.#connections.add(held)
      opening.connection.onClose(() => { this.#forget(held) })
      if (this.#isClosed) this.#drop(held)
    } else if (opening.type === 'refused' && opening.failure === 'connection-limit' && !this.#isClosed) {
      this.#logger.warn('connection refused', { database: id, organisation, held: this.#connections.size, ...opening })
      this.#cap.recordRefusal(this.#connections.size, this.#clock.readTime())
      this.#growLater()
    } else {
      this.#logger.warn('connection refused', { database: id, organisation, ...opening })
      for (const waiter of this.#takeWaiters((other) => other.organisation === organisation)) waiter.resolve(opening)
    }
    this.#serveWaiters()
  }

  /** Requests go on waiting while the limit of the database leaves no room; a connection may become free meanwhile. */
  #growLater (): void {
    clearTimeout(this.#growTimer)
    const stepMs = this.#isClosed ? undefined : this.#cap.findNextStepMs(this.#limit, this.#clock.readTime())
    if (stepMs === undefined) return
    this.#growTimer = setTimeout(() => {
      this.#serveWaiters()
      this.#growLater()
    }, stepMs)
  }

  #forget (held: HeldConnection): void {
    if (this.#connections.delete(held)) this.#serveWaiters()
  }

  #drop (held: HeldConnection): void {
    this.#connections.delete(held)
    held.isIdle = false
    held.connection.close()
  }

  #failWaiter (waiter: Waiter): void {
    this.#removeWaiter(waiter)
    waiter.resolve({ type: 'refused', failure: 'busy', text: 'no connection was free in time' })
  }

  #removeWaiter (waiter: Waiter): void {
    clearTimeout(waiter.timer)
    this.#waiters = this.#waiters.filter((other) => other !== waiter)
  }

  #takeWaiters (isWanted: (waiter: Waiter) => boolean): Waiter[] {
    const taken = this.#waiters.filter(isWanted)
    for (const waiter of taken) this.#removeWaiter(waiter)
    return taken
  }
}
