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

const FIRST_DRAIN_MS = 2000
/** Waiting requests are paused meanwhile; they must still meet a usual statement deadline of 10 s. */
const MAX_DRAIN_MS = 8000
const CATCH_UP_MS = 2000
const RETRY_PAUSE_MS = 1000

/**
 * Hands the role of the primary over without losing anything: new work waits, open transactions end, a replica gets the
 * last position, then the term is raised. Work that waited meanwhile is refused as not run and goes to the new primary.
 */
export class PlannedChange {
  readonly #options: CreateOptions
  #isRunning = false
  #notBefore = 0
  #drainMs = FIRST_DRAIN_MS

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PlannedChange {
    return new PlannedChange(options)
  }

  /** Starts a change unless one runs or the last one failed a moment ago. */
  start (primary: string, successors: readonly string[]): void {
    const { clock, logger, group } = this.#options
    if (this.#isRunning || successors.length === 0 || clock.readTime() < this.#notBefore) return
    this.#isRunning = true
    this.#run(primary, successors)
      .then((changed) => { logger.warn('planned change of primary ended', { group, primary, changed }) })
      .catch((error: unknown) => { logger.warn('planned change of primary failed', { group, primary, reason: String(error) }) })
      .finally(() => {
        this.#isRunning = false
        this.#notBefore = clock.readTime() + RETRY_PAUSE_MS
      })
  }

  async #run (primary: string, successors: readonly string[]): Promise<boolean> {
    const { findDatabase, promote, readStatus } = this.#options
    const database = findDatabase(primary)
    database?.pause()
    try {
      if (database !== undefined && !await database.waitUntilIdle(this.#drainMs)) {
        this.#drainMs = Math.min(MAX_DRAIN_MS, this.#drainMs * 2)
        return false
      }
      const { log } = await readStatus(primary)
      if (!await this.#waitForOne(successors, log)) return false
      return await promote(primary)
    } finally {
      database?.resume()
    }
  }

  async #waitForOne (successors: readonly string[], log: Position): Promise<boolean> {
    const waits = successors.map(async (database) => {
      if (!await this.#options.waitForPosition(database, log, CATCH_UP_MS)) throw new Error('behind')
    })
    return await Promise.any(waits).then(() => true, () => false)
  }
}
