import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ConnectionCap } from '../../src/fairness/connection-cap.js'

const DATABASE_LIMIT = 49
const OWN_LIMIT = 36
const LINGER_MS = 3000
const TICK_MS = 10

test('while connections of a dead host fill a database few attempts go over its limit, and the owner is soon back at its own', () => {
  const cap = ConnectionCap.create()
  let held = 0
  let refused = 0
  let fullAt: number | undefined
  for (let now = 0; now < 2 * LINGER_MS && fullAt === undefined; now += TICK_MS) {
    const lingering = now < LINGER_MS ? OWN_LIMIT : 0
    while (held < cap.computeLimit(OWN_LIMIT, now)) {
      if (held + lingering < DATABASE_LIMIT) held++
      else {
        refused++
        cap.recordRefusal(held, now)
      }
    }
    if (held === OWN_LIMIT) fullAt = now
  }
  assert.ok(refused <= LINGER_MS / 200, `${refused} refused`)
  assert.ok(fullAt !== undefined && fullAt <= LINGER_MS + 1500, `full at ${fullAt}`)
})

test('the owner uses what is left of the limit meanwhile', () => {
  const cap = ConnectionCap.create()
  cap.recordRefusal(13, 0)
  assert.equal(cap.computeLimit(OWN_LIMIT, 100), 13)
  assert.equal(cap.computeLimit(OWN_LIMIT, 300), 15)
  assert.equal(cap.computeLimit(OWN_LIMIT, 1500), OWN_LIMIT)
  assert.equal(cap.findNextStepMs(OWN_LIMIT, 1500), undefined)
})

test('an owner that was never refused keeps to its own limit', () => {
  assert.equal(ConnectionCap.create().computeLimit(OWN_LIMIT, 0), OWN_LIMIT)
  assert.equal(ConnectionCap.create().findNextStepMs(OWN_LIMIT, 0), undefined)
})
