import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LagMemory } from '../../src/placement/lag-memory.js'

test('one lagging answer changes nothing (a fresh position sent all reads to the primary), two in a row do for a while', () => {
  const lags = LagMemory.create()
  lags.recordLag('r', 0)
  assert.equal(lags.isBehind('r', 1), false)
  lags.recordLag('r', 10)
  assert.equal(lags.isBehind('r', 11), true)
  assert.equal(lags.isBehind('r', 311), false)
  lags.recordServed('r')
  lags.recordLag('r', 400)
  assert.equal(lags.isBehind('r', 401), false)
})
