import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { StatementAccess } from '@tanagerusher/state/upstream/upstream-command'
import { isNotRun } from './is-not-run.js'

interface StatementResult { answer: StatementResponse, wasSent: boolean }

export type StatementDecision =
  | { type: 'answer', answer: Exclude<StatementResponse, { type: 'lost' }> }
  /** The statement has not run, or it is a read that can safely run again. */
  | { type: 'retry', reason: string }

/**
 * Decides whether a statement outside of a transaction is retried or its result is returned to the caller. A write that may
 * have been sent is never retried and never reported as "not run", unless the database itself reported that it did not run.
 */
export function decideStatementOutcome ({ answer, wasSent }: StatementResult, access: StatementAccess): StatementDecision {
  if (answer.type === 'done') return { type: 'answer', answer }
  const mayHaveRun = wasSent && access === 'write'
  if (answer.type === 'lost') {
    if (!mayHaveRun) return { type: 'retry', reason: answer.reason }
    return { type: 'answer', answer: { type: 'failed', failure: 'outcome-unknown', text: answer.reason, position: undefined } }
  }
  if (answer.failure === 'unknown-statement') return { type: 'answer', answer }
  if (isNotRun(answer.failure) || !mayHaveRun) return { type: 'retry', reason: `${answer.failure}: ${answer.text}` }
  return { type: 'answer', answer }
}
