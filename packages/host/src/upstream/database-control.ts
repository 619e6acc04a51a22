import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { UpstreamHealth } from '@tanagerusher/coordination/health/upstream-health'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { Logger } from 'winston'
import type { ConnectionPool } from './connection-pool.js'
import type { PooledConnection } from './pooled-connection.js'
import type { OwnerEvents } from './owner-events.js'
import type { PrimaryGuard } from './primary-guard.js'

interface CreateOptions {
  record: UpstreamRecord
  pool: ConnectionPool
  primary: PrimaryGuard
  health: UpstreamHealth
  clock: Clock
  logger: Logger
  events: OwnerEvents
}

/** Timeout of control statements, which take no slot. */
const CONTROL_TIMEOUT_MS = 1000
const PROBE_TIMEOUT_MS = 400
const PROBE_ORGANISATION = '-'

/** Runs the proxy's own commands on one database, and records health and leadership from the responses to all commands. */
export class DatabaseControl {
  /** Organisation for which a connection is opened when none is idle. */
  organisation = PROBE_ORGANISATION
  readonly #options: CreateOptions
  #probe: Promise<boolean> | undefined

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): DatabaseControl {
    return new DatabaseControl(options)
  }

  /** Checks whether the database is the primary, without taking a slot. Returns true when it responded at all. */
  async probe (): Promise<boolean> {
    this.#probe ??= this.#runProbe().finally(() => { this.#probe = undefined })
    return await this.#probe
  }

  async run (command: UpstreamCommand): Promise<StatementResponse> {
    const { pool } = this.#options
    const pooled = await this.#acquire()
    if (pooled === undefined) return { type: 'lost', reason: 'no connection' }
    const [answer] = await Promise.all(pooled.connection.send([command], CONTROL_TIMEOUT_MS)) as [StatementResponse]
    this.recordHealth(answer)
    if (answer.type === 'lost') pool.discard(pooled)
    else pool.release(pooled)
    return answer
  }

  recordHealth (answer: StatementResponse): void {
    const { record, events, health, pool, clock } = this.#options
    if (answer.type !== 'lost') {
      if (health.isSuspect) events.handleRecovery(record)
      health.recordResponse(clock.readTime())
      return
    }
    health.recordFailure(clock.readTime())
    if (pool.size > 0) void this.probe()
  }

  /**
   * Records what the response to a write, to a plain BEGIN or to the COMMIT of writes shows. No other response does: reads, STATUS and the
   * COMMIT of a transaction that wrote nothing succeed also on a database that is no longer the primary.
   */
  recordLeadership (answer: StatementResponse, sentAt: number): void {
    const { record, events, logger } = this.#options
    if (answer.type === 'done' && answer.position !== undefined) events.handleLeaderConfirmation(record, answer.position, sentAt)
    if (answer.type === 'failed' && answer.failure === 'not-primary') {
      logger.info('database does not lead', { database: record.id, group: record.group })
      events.handleLeaderRefusal(record)
    }
  }

  async #runProbe (): Promise<boolean> {
    const { record, pool, primary, clock, logger } = this.#options
    const pooled = await this.#acquire()
    if (pooled === undefined) return false
    const sentAt = clock.readTime()
    const lease = primary.check(false)
    const [begin, rollback] = await Promise.all(pooled.connection.send([{ type: 'begin', isReadOnly: false, after: undefined }, { type: 'rollback' }], PROBE_TIMEOUT_MS)) as [StatementResponse, StatementResponse]
    this.recordHealth(begin)
    // A replaced primary may respond like the current one; its response confirms leadership only if this host holds the lease.
    if (lease.type === 'held' || begin.type === 'failed') this.recordLeadership(begin, sentAt)
    if (begin.type !== 'lost') {
      if (rollback.type !== 'done') logger.info('probe did not end its transaction', { database: record.id, begin: begin.type, rollback, state: pooled.connection.transactionState })
      pool.release(pooled)
      return true
    }
    // When one connection is unresponsive, the others may be too; each would cost a request its whole timeout.
    pool.discard(pooled)
    pool.closeIdleUnusedSince(sentAt)
    return false
  }

  async #acquire (): Promise<PooledConnection | undefined> {
    const { pool, health, clock } = this.#options
    const idle = pool.acquireAnyIdle()
    if (idle !== undefined) return idle
    const acquisition = await pool.acquire({ organisation: this.organisation, timeoutMs: PROBE_TIMEOUT_MS })
    if (acquisition.type === 'acquired') return acquisition.pooled
    if (acquisition.type === 'unreachable') health.recordFailure(clock.readTime())
    return undefined
  }
}
