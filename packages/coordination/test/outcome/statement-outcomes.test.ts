import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decideStatementOutcome } from '../../src/outcome/decide-statement-outcome.js'
import { decideTransactionFailure } from '../../src/outcome/decide-transaction-failure.js'

const lost = { type: 'lost', reason: 'cut' } as const

// Guards against a write that runs twice because it was retried, and against one that is committed although it was reported as
// not run.
test('a write that may have been sent is neither retried nor reported as not run', () => {
  const decision = decideStatementOutcome({ answer: lost, wasSent: true }, 'write')
  assert.equal(decision.type === 'answer' && decision.answer.type === 'failed' && decision.answer.failure, 'outcome-unknown')
  for (const failure of ['failed', 'timeout'] as const) {
    const forwarded = decideStatementOutcome({ answer: { type: 'failed', failure, text: '' }, wasSent: true }, 'write')
    assert.equal(forwarded.type === 'answer' && forwarded.answer.type === 'failed' && forwarded.answer.failure, failure)
  }
})

test('a statement that the database reports as not run is retried, and a read always is', () => {
  for (const failure of ['busy', 'lagging', 'not-primary', 'wrong-upstream', 'connection-limit'] as const) {
    assert.equal(decideStatementOutcome({ answer: { type: 'failed', failure, text: '' }, wasSent: true }, 'write').type, 'retry')
  }
  assert.equal(decideStatementOutcome({ answer: lost, wasSent: true }, 'read').type, 'retry')
  assert.equal(decideStatementOutcome({ answer: lost, wasSent: false }, 'write').type, 'retry')
})

test('a lost connection rolls the transaction back before COMMIT is sent, and leaves the outcome unknown afterwards', () => {
  assert.equal(decideTransactionFailure({ answer: lost, wasCommitSent: false }).failure, 'aborted')
  assert.equal(decideTransactionFailure({ answer: lost, wasCommitSent: true }).failure, 'outcome-unknown')
  assert.equal(decideTransactionFailure({ answer: { type: 'failed', failure: 'failed', text: '' }, wasCommitSent: true }).failure, 'outcome-unknown')
  assert.equal(decideTransactionFailure({ answer: { type: 'failed', failure: 'not-primary', text: '' }, wasCommitSent: true }).failure, 'not-primary')
})
