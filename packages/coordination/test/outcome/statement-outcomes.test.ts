import assert from 'node:assert/strict'
import { test } from 'node:test'
import { decideStatementOutcome } from '../../src/outcome/decide-statement-outcome.js'
import { decideTransactionFailure } from '../../src/outcome/decide-transaction-failure.js'

const lost = { type: 'lost', reason: 'cut' } as const

test('a write that may have been sent is neither repeated nor called not run (it would run twice, or be kept though refused)', () => {
  const decision = decideStatementOutcome({ answer: lost, wasSent: true }, 'write')
  assert.equal(decision.type === 'answer' && decision.answer.type === 'failed' && decision.answer.failure, 'outcome-unknown')
  for (const failure of ['failed', 'timeout'] as const) {
    const passed = decideStatementOutcome({ answer: { type: 'failed', failure, text: '' }, wasSent: true }, 'write')
    assert.equal(passed.type === 'answer' && passed.answer.type === 'failed' && passed.answer.failure, failure)
  }
})

test('what the database says has not run is tried again, and so is a read in every case', () => {
  for (const failure of ['busy', 'lagging', 'not-primary', 'wrong-upstream', 'connection-limit'] as const) {
    assert.equal(decideStatementOutcome({ answer: { type: 'failed', failure, text: '' }, wasSent: true }, 'write').type, 'retry')
  }
  assert.equal(decideStatementOutcome({ answer: lost, wasSent: true }, 'read').type, 'retry')
  assert.equal(decideStatementOutcome({ answer: lost, wasSent: false }, 'write').type, 'retry')
})

test('before COMMIT is sent a lost connection rolls back; after it the outcome is unknown', () => {
  assert.equal(decideTransactionFailure({ answer: lost, wasCommitSent: false }).failure, 'aborted')
  assert.equal(decideTransactionFailure({ answer: lost, wasCommitSent: true }).failure, 'outcome-unknown')
  assert.equal(decideTransactionFailure({ answer: { type: 'failed', failure: 'failed', text: '' }, wasCommitSent: true }).failure, 'outcome-unknown')
  assert.equal(decideTransactionFailure({ answer: { type: 'failed', failure: 'not-primary', text: '' }, wasCommitSent: true }).failure, 'not-primary')
})
