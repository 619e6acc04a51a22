import { PauseDetector } from '@tanagerusher/coordination/clock/pause-detector'
import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PrimaryLeases } from '@tanagerusher/coordination/failover/primary-leases'
import type { UpstreamConnector } from '@tanagerusher/coordination/common/upstream-connector'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import { DatabaseOwner } from './database-owner.js'
import type { OwnerEvents } from './owner-events.js'

interface CreateOptions {
  connector: UpstreamConnector
  clock: Clock
  logger: Logger
  events: OwnerEvents
  leases: PrimaryLeases
  checkClocks: () => void
  /** Whether owners learn how many statements each database runs well at a time, and report service times. */
  learnsCapacity: boolean
  /** Returns the maximum number of connections of this host to a database. */
  findConnectionLimit: (record: UpstreamRecord) => number
  /** Whether the catalogue in force here still permits an operation, which may have waited, to run at the database. */
  isPermitted: (record: UpstreamRecord, params: UpstreamExecuteParams) => boolean
}

/** An owner that received no request for this time is closed together with its connections. */
const IDLE_TIMEOUT_MS = 30_000

/** Owners of the databases for which this host holds the connections, also in place of another host. */
export class OwnerRegistry {
  readonly #options: CreateOptions
  readonly #owners = new Map<string, DatabaseOwner>()
  readonly #pauses: PauseDetector | undefined
  #pauseTimer: NodeJS.Timeout | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
    this.#pauses = options.learnsCapacity ? PauseDetector.create(options.clock.readTime()) : undefined
  }

  static create (options: CreateOptions): OwnerRegistry {
    return new OwnerRegistry(options)
  }

  get all (): DatabaseOwner[] { return [...this.#owners.values()] }

  get (id: string): DatabaseOwner | undefined { return this.#owners.get(id) }

  /** Returns the owner of a database, which is created at the first call. A restarted database gets a new owner. */
  find (record: UpstreamRecord): DatabaseOwner {
    const existing = this.#owners.get(record.id)
    if (existing !== undefined && existing.record.startedAt === record.startedAt && existing.record.address === record.address) {
      existing.updateRecord(record)
      return existing
    }
    existing?.close()
    const { connector, clock, logger, events, leases, checkClocks, findConnectionLimit, isPermitted } = this.#options
    const owner = DatabaseOwner.create({ record, connector, clock, logger, events, leases, checkClocks, isPermitted, pauses: this.#pauses })
    owner.updateLimit(findConnectionLimit(record))
    this.#owners.set(record.id, owner)
    const pauses = this.#pauses
    if (pauses !== undefined) this.#pauseTimer ??= setInterval(() => { pauses.tick(clock.readTime()) }, pauses.tickMs).unref()
    return owner
  }

  /** Closes the owners of databases that were removed or are unused, and adjusts the limits of the others. */
  update (findRecord: (id: string) => UpstreamRecord | undefined): void {
    const now = this.#options.clock.readTime()
    for (const [id, owner] of this.#owners) {
      const record = findRecord(id)
      const isIdle = now - owner.usedAt > IDLE_TIMEOUT_MS && owner.openTransactions === 0
      if (record === undefined || isIdle) {
        owner.close()
        this.#owners.delete(id)
        continue
      }
      owner.updateRecord(record)
      owner.abortOrphanedTransactions()
      owner.updateLimit(this.#options.findConnectionLimit(record))
    }
    if (this.#owners.size === 0) this.#stopPauseTimer()
  }

  /** Refuses the work that waits for a slot or a connection of any database. It has not run. */
  stopWaiting (): void {
    for (const owner of this.#owners.values()) owner.stopWaiting()
  }

  /** Waits until this host has no work for the group's primary in flight, for at most `timeLeftMs`. */
  async quiesce (group: string, timeLeftMs: number): Promise<void> {
    await Promise.all(this.all.filter(({ record }) => record.group === group).map(async (owner) => { await owner.quiesce(timeLeftMs) }))
  }

  /** Aborts all transactions at databases of a data centre. Returns their number. */
  abortTransactionsIn (dataCentre: string): number {
    const owners = this.all.filter(({ record }) => record.dataCentre === dataCentre)
    return owners.reduce((sum, owner) => sum + owner.abortTransactions(() => true), 0)
  }

  abortTransactionsOf (incarnation: string): void {
    for (const owner of this.#owners.values()) owner.abortTransactions((session) => session.startsWith(`${incarnation}/`))
  }

  close (): void {
    for (const owner of this.#owners.values()) owner.close()
    this.#owners.clear()
    this.#stopPauseTimer()
  }

  #stopPauseTimer (): void {
    clearInterval(this.#pauseTimer)
    this.#pauseTimer = undefined
  }
}
