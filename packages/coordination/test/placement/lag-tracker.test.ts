import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LagTracker } from '../../src/placement/lag-tracker.js'

// Guards against sending all reads to the primary after one lagging response, which a read of a very recent position causes.
test('a replica counts as behind for 300 ms after two consecutive lagging responses, and not after a single one', () => {
  const lags = LagTracker.create()
  lags.recordLag('r', 0)
  assert.equal(lags.isBehind('r', 1), false)
  lags.recordLag('r', 10)
  assert.equal(lags.isBehind('r', 11), true)
  assert.equal(lags.isBehind('r', 311), false)
  lags.recordServed('r')
  lags.recordLag('r', 400)
  assert.equal(lags.isBehind('r', 401), false)
})
