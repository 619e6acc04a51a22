import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { Logger } from 'winston'
import type { PausableDatabase } from './pausable-database.js'

interface CreateOptions {
  group: string
  clock: Clock
  logger: Logger
  findDatabase: (database: string) => PausableDatabase | undefined
  readStatus: (database: string) => Promise<DatabaseStatus>
  waitForPosition: (database: string, position: Position, timeoutMs: number) => Promise<boolean>
  /** Raises the term and promotes another database than `primary`; resolves when the attempt has ended. */
  promote: (primary: string) => Promise<boolean>
}

const INITIAL_DRAIN_TIMEOUT_MS = 2000
/** Queued requests are paused during the drain and must still meet a usual statement deadline of 10 s. */
const MAX_DRAIN_TIMEOUT_MS = 8000
const CATCH_UP_TIMEOUT_MS = 2000
const RETRY_DELAY_MS = 1000

/**
 * Changes the primary without losing writes. New work is queued until open transactions have ended and a replica has received
 * the last position; then the term is raised. The queued work is refused as not run, and entries retry it at the new primary.
 */
export class PlannedChange {
  readonly #options: CreateOptions
  #isRunning = false
  #earliestStartAt = 0
  #drainTimeoutMs = INITIAL_DRAIN_TIMEOUT_MS

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PlannedChange {
    return new PlannedChange(options)
  }

  /** Starts a change unless one is running or the last one ended less than `RETRY_PAUSE_MS` ago. */
  start (primary: string, successors: readonly string[]): void {
    const { clock, logger, group } = this.#options
    if (this.#isRunning || successors.length === 0 || clock.readTime() < this.#earliestStartAt) return
    this.#isRunning = true
    this.#run(primary, successors)
      .then((changed) => { logger.warn('planned change of primary ended', { group, primary, changed }) })
      .catch((error: unknown) => { logger.warn('planned change of primary failed', { group, primary, reason: String(error) }) })
      .finally(() => {
        this.#isRunning = false
        this.#earliestStartAt = clock.readTime() + RETRY_DELAY_MS
      })
  }

  async #run (primary: string, successors: readonly string[]): Promise<boolean> {
    const { findDatabase, promote, readStatus } = this.#options
    const database = findDatabase(primary)
    database?.pause()
    try {
      if (database !== undefined && !await database.waitUntilIdle(this.#drainTimeoutMs)) {
        this.#drainTimeoutMs = Math.min(MAX_DRAIN_TIMEOUT_MS, this.#drainTimeoutMs * 2)
        return false
      }
      const { log } = await readStatus(primary)
      if (!await this.#waitForAnySuccessor(successors, log)) return false
      return await promote(primary)
    } finally {
      database?.resume()
    }
  }

  async #waitForAnySuccessor (successors: readonly string[], log: Position): Promise<boolean> {
    const waits = successors.map(async (database) => {
      if (!await this.#options.waitForPosition(database, log, CATCH_UP_TIMEOUT_MS)) throw new Error('the replica did not reach the position of the primary')
    })
    return await Promise.any(waits).then(() => true, () => false)
  }
}
