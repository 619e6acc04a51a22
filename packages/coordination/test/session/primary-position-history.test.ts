import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PrimaryPositionHistory } from '../../src/session/primary-position-history.js'

test('a read with a staleness bound requires the oldest position within the bound, which most replicas hold', () => {
  const positions = PrimaryPositionHistory.create()
  positions.record({ term: 1, position: 10 }, 1000)
  positions.record({ term: 1, position: 20 }, 2000)
  assert.deepEqual(positions.findReadPosition(1500, undefined, 2400), { term: 1, position: 10 })
  assert.deepEqual(positions.findReadPosition(1500, undefined, 2600), { term: 1, position: 20 })
  assert.equal(positions.findReadPosition(1500, undefined, 3600), undefined)
})

test('a session reads its own commits even when the staleness bound allows a lower position', () => {
  const positions = PrimaryPositionHistory.create()
  positions.record({ term: 1, position: 10 }, 1000)
  assert.deepEqual(positions.findReadPosition(1500, { term: 1, position: 15 }, 1100), { term: 1, position: 15 })
})

// Guards against reads that no replica can ever serve: a promotion may have rolled the floor back, so that no log reaches it.
test('a floor of an earlier term is replaced by a confirmed position of a newer term', () => {
  const positions = PrimaryPositionHistory.create()
  positions.record({ term: 2, position: 12 }, 1000)
  assert.deepEqual(positions.findReadPosition(1500, { term: 1, position: 90 }, 1100), { term: 2, position: 12 })
})

test('a late response of an old primary does not replace a position of a newer term', () => {
  const positions = PrimaryPositionHistory.create()
  positions.record({ term: 2, position: 12 }, 1000)
  positions.record({ term: 1, position: 50 }, 1200)
  assert.deepEqual(positions.newest?.position, { term: 2, position: 12 })
})

// Guards against a stale read: a response that waited in the socket during a suspension appears recent.
test('a response to a request sent before a suspension is discarded', () => {
  const positions = PrimaryPositionHistory.create()
  positions.clear(100)
  positions.record({ term: 1, position: 5 }, 99)
  assert.equal(positions.findReadPosition(1500, undefined, 101), undefined)
  positions.record({ term: 1, position: 5 }, 90, 102)
  assert.deepEqual(positions.findReadPosition(1500, undefined, 103), { term: 1, position: 5 })
})
