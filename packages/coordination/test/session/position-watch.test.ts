import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PositionWatch } from '../../src/session/position-watch.js'

test('a read inside the bound may run from the oldest position that the bound allows, which most replicas hold', () => {
  const watch = PositionWatch.create()
  watch.record({ term: 1, position: 10 }, 1000)
  watch.record({ term: 1, position: 20 }, 2000)
  assert.deepEqual(watch.findReadPosition(1500, undefined, 2400), { term: 1, position: 10 })
  assert.deepEqual(watch.findReadPosition(1500, undefined, 2600), { term: 1, position: 20 })
  assert.equal(watch.findReadPosition(1500, undefined, 3600), undefined)
})

test('a session reads its own commits, also where the bound would allow less', () => {
  const watch = PositionWatch.create()
  watch.record({ term: 1, position: 10 }, 1000)
  assert.deepEqual(watch.findReadPosition(1500, { term: 1, position: 15 }, 1100), { term: 1, position: 15 })
})

test('a floor of an earlier term gives way, since a promotion may have rolled it back and no log would ever reach it', () => {
  const watch = PositionWatch.create()
  watch.record({ term: 2, position: 12 }, 1000)
  assert.deepEqual(watch.findReadPosition(1500, { term: 1, position: 90 }, 1100), { term: 2, position: 12 })
})

test('a late answer of an old primary does not replace a newer position', () => {
  const watch = PositionWatch.create()
  watch.record({ term: 2, position: 12 }, 1000)
  watch.record({ term: 1, position: 50 }, 1200)
  assert.deepEqual(watch.newest?.position, { term: 2, position: 12 })
})

// Guards against a stale read: an answer that waited in the socket during a suspension looks young.
test('an answer to a question from before a suspension gives no position', () => {
  const watch = PositionWatch.create()
  watch.clear(100)
  watch.record({ term: 1, position: 5 }, 99)
  assert.equal(watch.findReadPosition(1500, undefined, 101), undefined)
  watch.record({ term: 1, position: 5 }, 90, 102)
  assert.deepEqual(watch.findReadPosition(1500, undefined, 103), { term: 1, position: 5 })
})
