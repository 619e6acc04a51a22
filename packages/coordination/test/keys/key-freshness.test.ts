import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { KeyFreshness } from '../../src/keys/key-freshness.js'

describe('KeyFreshness', () => {
  // Guards against a host that is disconnected while a key is withdrawn and keeps serving callers with this key.
  it('expires 10 s after the request of the last confirmation', () => {
    const freshness = KeyFreshness.create()
    assert.equal(freshness.isFresh(0), false)
    freshness.recordConfirmation(1000)
    assert.equal(freshness.isFresh(10_999), true)
    assert.equal(freshness.isFresh(11_000), false)
  })

  // Guards against a delayed message that makes the configuration look older, and a late report of an old age that makes it look newer.
  it('keeps the newest confirmation when an older one arrives later', () => {
    const freshness = KeyFreshness.create()
    freshness.recordAge(100, 5000)
    freshness.recordAge(4000, 5200)
    assert.equal(freshness.readAge(5200), 300)
  })
})
