import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'

interface Options {
  answer: Exclude<StatementResponse, { type: 'done' }>
  /** Whether the transaction's COMMIT may have reached the database. */
  wasCommitSent: boolean
}

const COMMIT_NOT_RUN_FAILURES: ReadonlySet<StatementFailure> = new Set(['busy', 'lagging', 'not-primary', 'unknown-statement'])

/**
 * Chooses the failure that a caller receives for a statement of a transaction. Before COMMIT is sent the whole transaction is
 * rolled back, so a failure may state that no change was applied. After that, it may do so only when the database itself
 * reported that COMMIT did not run.
 */
export function decideTransactionFailure ({ answer, wasCommitSent }: Options): { failure: StatementFailure, text: string } {
  if (answer.type === 'lost') return { failure: wasCommitSent ? 'outcome-unknown' : 'aborted', text: answer.reason }
  if (wasCommitSent && !COMMIT_NOT_RUN_FAILURES.has(answer.failure)) return { failure: answer.failure === 'aborted' ? 'aborted' : 'outcome-unknown', text: answer.text }
  const isKnownNotApplied = COMMIT_NOT_RUN_FAILURES.has(answer.failure) || answer.failure === 'aborted'
  return { failure: isKnownNotApplied ? answer.failure : 'aborted', text: answer.text }
}
