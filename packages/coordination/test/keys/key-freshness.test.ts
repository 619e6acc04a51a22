import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { KeyFreshness } from '../../src/keys/key-freshness.js'

describe('KeyFreshness', () => {
  // Guards against a host that is cut off while a key is withdrawn and goes on serving it.
  it('ends 10 s after the last confirmation, counted from when it was asked for', () => {
    const freshness = KeyFreshness.create()
    assert.equal(freshness.isFresh(0), false)
    freshness.recordConfirmation(1000)
    assert.equal(freshness.isFresh(10_999), true)
    assert.equal(freshness.isFresh(11_000), false)
  })

  // Guards against a late message that makes the configuration look older, or an old age told late that makes it newer.
  it('keeps the newest confirmation', () => {
    const freshness = KeyFreshness.create()
    freshness.recordAge(100, 5000)
    freshness.recordAge(4000, 5200)
    assert.equal(freshness.readAge(5200), 300)
  })
})
