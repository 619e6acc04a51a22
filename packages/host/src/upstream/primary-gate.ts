import type { Clock } from '@tanagerusher/coordination/common/clock'
import type { PrimaryRights, RightCheck } from '@tanagerusher/coordination/failover/primary-rights'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import { pause } from '../program/pause.js'

interface CreateOptions {
  rights: PrimaryRights
  group: string
  databaseId: string
  clock: Clock
  /** Looks whether the host was suspended, before a right is relied on. */
  checkClocks: () => void
}

/** A change of primary takes some hundred milliseconds; work that waits for it looks this often. */
const STEP_MS = 15

/**
 * How long work waits for a right, in ms. A proof that a suspension or a step of the clock has cost is back within a ping; one that
 * stays away is not worth waiting for, and another owner may have it.
 */
const WAITS_MS = { changing: Infinity, unproven: 150, replaced: 0 } as const

/** What one owner sends to a database as the primary of its group passes here. */
export class PrimaryGate {
  readonly #options: CreateOptions
  #underWay = 0

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): PrimaryGate {
    return new PrimaryGate(options)
  }

  check (isJoining: boolean): RightCheck {
    const { rights, group, databaseId, clock, checkClocks } = this.#options
    checkClocks()
    return rights.check({ group, databaseId, isJoining }, clock.readTime())
  }

  /** Waits while another database is being promoted, whose outcome decides where the work goes, and shortly for a proof. */
  async wait (isJoining: boolean, timeLeftMs: number): Promise<RightCheck> {
    const { clock } = this.#options
    const startedAt = clock.readTime()
    let check = this.check(isJoining)
    while (check.type === 'refused' && clock.readTime() - startedAt < Math.min(timeLeftMs, WAITS_MS[check.reason])) {
      await pause(STEP_MS)
      check = this.check(isJoining)
    }
    return check
  }

  /** Sends with a right that was checked in the same turn, and counts what is under way. */
  async track (answers: Array<Promise<StatementAnswer>>): Promise<StatementAnswer[]> {
    this.#underWay++
    try {
      return await Promise.all(answers)
    } finally {
      this.#underWay--
    }
  }

  /**
   * Success of a commit only if no promotion can have come before it. An answer that arrives after the right has run out waits
   * for a proof that no other host has claimed the group; without one its outcome is unknown.
   */
  async decideCommit (answer: StatementAnswer, revision: number, timeLeftMs: number): Promise<StatementAnswer> {
    if (answer.type !== 'done') return answer
    const { rights, group, clock, checkClocks } = this.#options
    const answeredAt = clock.readTime()
    checkClocks()
    for (let check = rights.checkAnswer(group, revision, answeredAt); check !== 'valid'; check = rights.checkAnswer(group, revision, answeredAt)) {
      if (check === 'lost' || clock.readTime() - answeredAt >= timeLeftMs) {
        return { type: 'failed', failure: 'outcome-unknown', text: `the primary may have been replaced before the commit (right ${check})`, position: undefined }
      }
      await pause(STEP_MS)
    }
    return answer
  }

  /** Waits until nothing is under way and `isRested` holds; no longer than `timeLeftMs`. */
  async quiesce (isRested: () => boolean, timeLeftMs: number): Promise<void> {
    const { clock } = this.#options
    const deadline = clock.readTime() + timeLeftMs
    while ((this.#underWay > 0 || !isRested()) && clock.readTime() < deadline) await pause(STEP_MS)
  }
}
