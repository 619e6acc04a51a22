import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Position } from '@tanagerusher/state/position/position'
import type { RaiseTermResponse } from './raise-term-response.js'

/**
 * Control functions of the databases of one group, as provided by the platform. Every call may fail, may be late, and may
 * have taken effect although its response was lost. All calls are idempotent within one term.
 */
export interface DatabaseGroup {
  /** Reads the status of a member. */
  readStatus(database: string): Promise<DatabaseStatus>
  /** Resolves when the member's log differs from `known` or its promised term from `knownPromisedTerm`, at the latest after `timeoutMs`. */
  waitForChange(database: string, known: Position, timeoutMs: number, knownPromisedTerm?: number): Promise<DatabaseStatus>
  /** Makes the member refuse every request of a lower term. Granted only when `term` is higher than any term promised before. */
  raiseTerm(database: string, term: number): Promise<RaiseTermResponse>
  /** Makes the member the primary of `term`. Refused unless it has promised exactly this term. */
  promote(database: string, term: number): Promise<boolean>
  /** Makes the member follow `primary` in `term`; it truncates entries that the log of that primary does not contain. */
  follow(database: string, term: number, primary: string): Promise<boolean>
  /** Returns the start position of each term in the member's log. */
  readTermHistory(database: string): Promise<Array<{ term: number, start: number }>>
}
