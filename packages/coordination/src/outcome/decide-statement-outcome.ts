import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { StatementAccess } from '@tanagerusher/state/upstream/upstream-command'

interface Result { answer: StatementAnswer, wasSent: boolean }

export type StatementDecision =
  | { type: 'answer', answer: Exclude<StatementAnswer, { type: 'lost' }> }
  /** Nothing of it has run, or running it again changes nothing. */
  | { type: 'retry', reason: string }

/** A database that answers one of these has not run the statement. */
const NOT_RUN: ReadonlySet<StatementFailure> = new Set(['busy', 'unknown-statement', 'lagging', 'not-primary', 'wrong-upstream', 'connection-limit'])

/**
 * What a single statement's result means. A write that may have been sent is never repeated and never called "not run",
 * unless the database itself said that it did not run.
 */
export function decideStatementOutcome ({ answer, wasSent }: Result, access: StatementAccess): StatementDecision {
  if (answer.type === 'done') return { type: 'answer', answer }
  const mayHaveRun = wasSent && access === 'write'
  if (answer.type === 'lost') {
    if (!mayHaveRun) return { type: 'retry', reason: answer.reason }
    return { type: 'answer', answer: { type: 'failed', failure: 'outcome-unknown', text: answer.reason, position: undefined } }
  }
  if (answer.failure === 'unknown-statement') return { type: 'answer', answer }
  if (NOT_RUN.has(answer.failure) || !mayHaveRun) return { type: 'retry', reason: `${answer.failure}: ${answer.text}` }
  return { type: 'answer', answer }
}
