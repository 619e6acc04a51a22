import assert from 'node:assert/strict'
import { test } from 'node:test'
import { UpstreamHealth } from '../../src/health/upstream-health.js'

test('one failure changes nothing; two without a response in between block all work except one trial every 250 ms', () => {
  const health = UpstreamHealth.create()
  health.recordFailure(0)
  assert.equal(health.takeTrial(1), true)
  health.recordFailure(10)
  assert.equal(health.isSuspect, true)
  assert.equal(health.takeTrial(20), true)
  assert.equal(health.takeTrial(30), false)
  assert.equal(health.takeTrial(280), true)
  health.recordResponse(290)
  assert.equal(health.takeTrial(291), true)
  assert.equal(health.readFailingMs(300), 0)
})
