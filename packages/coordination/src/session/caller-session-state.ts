import type { TransactionState } from '../common/transaction-state.js'
import type { Position } from '@tanagerusher/state/position/position'
import type { StatementAccess } from '@tanagerusher/state/upstream/upstream-command'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'

interface PreparedStatement { access: StatementAccess, shape: string }

/**
 * Settings and prepared statements of a caller's session, and the log position of its last commit. Discarded when the caller's
 * connection closes.
 */
export class CallerSessionState {
  state: TransactionState = 'idle'
  readonly #values = new Map<string, string>()
  readonly #prepared = new Map<string, PreparedStatement>()
  #floor: Position | undefined

  static create (): CallerSessionState {
    return new CallerSessionState()
  }

  /** Time of the last acknowledged commit; -Infinity before the first. */
  committedAt = -Infinity

  get values (): Array<[string, string]> { return [...this.#values] }
  get floor (): Position | undefined { return this.#floor }

  setValue (name: string, value: string): void {
    this.#values.set(name, value)
  }

  prepare (name: string, prepared: PreparedStatement): void {
    this.#prepared.set(name, prepared)
  }

  deallocate (name: string): void {
    this.#prepared.delete(name)
  }

  findPrepared (name: string): PreparedStatement | undefined {
    return this.#prepared.get(name)
  }

  /** Records an acknowledged commit and raises the floor to its log position. */
  recordCommit (position: Position | undefined, now: number): void {
    this.committedAt = now
    if (position === undefined) return
    if (this.#floor === undefined || comparePositions(position, this.#floor) > 0) this.#floor = position
  }
}
