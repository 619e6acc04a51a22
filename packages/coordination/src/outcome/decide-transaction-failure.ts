import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'

interface Options {
  answer: Exclude<StatementAnswer, { type: 'done' }>
  /** Whether the transaction's COMMIT may have reached the database. */
  wasCommitSent: boolean
}

const COMMIT_NOT_RUN: ReadonlySet<StatementFailure> = new Set(['busy', 'lagging', 'not-primary', 'unknown-statement'])

/**
 * Failure that a caller gets for a statement of a transaction. Before COMMIT is sent everything is rolled back, so the
 * promise that nothing is kept is true; after it, only the database's own word that it did not run is.
 */
export function decideTransactionFailure ({ answer, wasCommitSent }: Options): { failure: StatementFailure, text: string } {
  if (answer.type === 'lost') return { failure: wasCommitSent ? 'outcome-unknown' : 'aborted', text: answer.reason }
  if (wasCommitSent && !COMMIT_NOT_RUN.has(answer.failure)) return { failure: answer.failure === 'aborted' ? 'aborted' : 'outcome-unknown', text: answer.text }
  const isPromise = COMMIT_NOT_RUN.has(answer.failure) || answer.failure === 'aborted'
  return { failure: isPromise ? answer.failure : 'aborted', text: answer.text }
}
