import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OutcomeClassifier } from '../../src/outcome/outcome-classifier.js'
import type { FailedRequest } from '../../src/outcome/failed-request.js'
import { RetryPolicy } from '../../src/outcome/retry-policy.js'

const policyOptions = { seed: 7, baseDelayMs: 50, maximumDelayMs: 400, budgetRatio: 0.1, maximumBudget: 2 }
const retryRequest = { attempt: 0, outcome: 'not-run' as const, isRepeatable: false, isInTransaction: false, deadline: 10_000 }

describe('OutcomeClassifier', () => {
  // Guards against reporting "not run" for work that may have run.
  it('classifies a request as not run only when that is certain', () => {
    const classifier = OutcomeClassifier.create()
    const cases: Array<[Partial<FailedRequest>, string]> = [
      [{ progress: 'waiting', kind: 'peer-failed' }, 'not-run'],
      [{ progress: 'sent', kind: 'peer-failed' }, 'unknown'],
      [{ progress: 'rejected', kind: 'overloaded' }, 'not-run'],
      [{ progress: 'rejected', kind: 'internal' }, 'unknown'],
      [{ progress: 'rejected', kind: 'outcome-unknown' }, 'unknown'],
      [{ progress: 'sent', kind: 'peer-failed', isInTransaction: true }, 'not-run'],
      [{ progress: 'sent', kind: 'peer-failed', isInTransaction: true, commits: true }, 'unknown']
    ]
    for (const [fields, expected] of cases) {
      const failed = { progress: 'sent' as const, kind: 'internal' as const, isInTransaction: false, commits: false, ...fields }
      assert.equal(classifier.classify(failed), expected, JSON.stringify(fields))
    }
  })
})

describe('RetryPolicy', () => {
  it('never retries work that may have run unless it is repeatable, and never retries a request inside a transaction', () => {
    const policy = RetryPolicy.create(policyOptions)
    assert.equal(policy.decide({ ...retryRequest, outcome: 'unknown' }, 0).type, 'fail')
    assert.equal(policy.decide({ ...retryRequest, isInTransaction: true }, 0).type, 'fail')
    assert.deepEqual(policy.decide({ ...retryRequest, outcome: 'unknown', isRepeatable: true }, 0), { type: 'retry', delayMs: 0 })
  })

  // Guards against a fault whose retries multiply the load.
  it('limits retries of unknown outcomes to a fraction of the requests, and all retries to the time before the deadline', () => {
    const policy = RetryPolicy.create(policyOptions)
    const unknown = { ...retryRequest, outcome: 'unknown' as const, isRepeatable: true }
    assert.deepEqual([1, 2, 3].map(() => policy.decide(unknown, 0).type), ['retry', 'retry', 'fail'])
    for (let count = 0; count < 11; count++) policy.recordRequest()
    assert.equal(policy.decide(unknown, 0).type, 'retry')
    assert.equal(policy.decide({ ...retryRequest, deadline: 5 }, 5).type, 'fail')
  })

  it('computes the same delays from the same seed, up to a limit that doubles with each attempt', () => {
    const computeDelays = (): number[] => {
      const policy = RetryPolicy.create(policyOptions)
      return [1, 2, 3, 8].map((attempt) => {
        const decision = policy.decide({ ...retryRequest, attempt }, 0)
        return decision.type === 'retry' ? decision.delayMs : -1
      })
    }
    const delays = computeDelays()
    assert.deepEqual(delays, computeDelays())
    for (const [index, limit] of [50, 100, 200, 400].entries()) assert.ok((delays[index] as number) >= 0 && (delays[index] as number) <= limit)
  })
})
