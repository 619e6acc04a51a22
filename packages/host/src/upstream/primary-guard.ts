import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PrimaryLeases, LeaseCheck } from '@tanagerusher/coordination/failover/primary-leases'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import { delay } from '../program/delay.js'

interface CreateOptions {
  leases: PrimaryLeases
  group: string
  databaseId: string
  clock: Clock
  /** Checks whether the host was suspended. Called before each use of a lease. */
  checkClocks: () => void
}

/** Interval at which waiting work checks the lease again. A change of primary takes some hundred milliseconds. */
const CHECK_INTERVAL_MS = 15

/**
 * Longest wait for a lease in ms, by the reason why it is refused. A confirmation that a suspension or a clock step invalidated is
 * renewed within one ping. A longer wait is not worthwhile, and another owner may have a confirmation.
 */
const MAXIMUM_WAITS_MS = { changing: Infinity, unproven: 150, replaced: 0 } as const

/** Guards the work that one owner sends to a database as the primary of its group: the host must hold a primary lease for it. */
export class PrimaryGuard {
  readonly #options: CreateOptions
  #inFlightCount = 0

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PrimaryGuard {
    return new PrimaryGuard(options)
  }

  check (isJoining: boolean): LeaseCheck {
    const { leases, group, databaseId, clock, checkClocks } = this.#options
    checkClocks()
    return leases.check({ group, databaseId, isJoining }, clock.readTime())
  }

  /** Waits during the promotion of another database, whose outcome decides where the work goes, and briefly for a confirmation. */
  async wait (isJoining: boolean, timeLeftMs: number): Promise<LeaseCheck> {
    const { clock } = this.#options
    const startedAt = clock.readTime()
    let check = this.check(isJoining)
    while (check.type === 'refused' && clock.readTime() - startedAt < Math.min(timeLeftMs, MAXIMUM_WAITS_MS[check.reason])) {
      await delay(CHECK_INTERVAL_MS)
      check = this.check(isJoining)
    }
    return check
  }

  /** Waits for the responses to work whose lease was checked in the same turn of the event loop, and counts it as in flight. */
  async track (answers: Array<Promise<StatementResponse>>): Promise<StatementResponse[]> {
    this.#inFlightCount++
    try {
      return await Promise.all(answers)
    } finally {
      this.#inFlightCount--
    }
  }

  /**
   * Reports a commit as done only if no promotion can have preceded it. A response that arrives after the lease has expired waits
   * for a confirmation that no other host has claimed the group; without one the outcome is unknown.
   */
  async decideCommit (answer: StatementResponse, revision: number, timeLeftMs: number): Promise<StatementResponse> {
    if (answer.type !== 'done') return answer
    const { leases, group, clock, checkClocks } = this.#options
    const respondedAt = clock.readTime()
    checkClocks()
    for (let check = leases.checkResponse(group, revision, respondedAt); check !== 'valid'; check = leases.checkResponse(group, revision, respondedAt)) {
      if (check === 'lost' || clock.readTime() - respondedAt >= timeLeftMs) {
        return { type: 'failed', failure: 'outcome-unknown', text: `the primary may have been replaced before the commit (right ${check})`, position: undefined }
      }
      await delay(CHECK_INTERVAL_MS)
    }
    return answer
  }

  /** Waits until nothing is in flight and `isIdle` returns true, for at most `timeLeftMs`. */
  async quiesce (isIdle: () => boolean, timeLeftMs: number): Promise<void> {
    const { clock } = this.#options
    const deadline = clock.readTime() + timeLeftMs
    while ((this.#inFlightCount > 0 || !isIdle()) && clock.readTime() < deadline) await delay(CHECK_INTERVAL_MS)
  }
}
