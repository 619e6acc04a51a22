import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ConnectionCap } from '../../src/fairness/connection-cap.js'

const DATABASE_LIMIT = 49
const OWN_LIMIT = 36
const STALE_CONNECTION_MS = 3000
const TICK_MS = 10

test('few attempts are refused while connections of a failed host still count, and the owner soon returns to its own limit', () => {
  const cap = ConnectionCap.create()
  let held = 0
  let refused = 0
  let fullAt: number | undefined
  for (let now = 0; now < 2 * STALE_CONNECTION_MS && fullAt === undefined; now += TICK_MS) {
    const staleConnections = now < STALE_CONNECTION_MS ? OWN_LIMIT : 0
    while (held < cap.computeLimit(OWN_LIMIT, now)) {
      if (held + staleConnections < DATABASE_LIMIT) held++
      else {
        refused++
        cap.recordRefusal(held, now)
      }
    }
    if (held === OWN_LIMIT) fullAt = now
  }
  assert.ok(refused <= STALE_CONNECTION_MS / 200, `${refused} refused`)
  assert.ok(fullAt !== undefined && fullAt <= STALE_CONNECTION_MS + 1500, `full at ${fullAt}`)
})

test('the owner keeps the connections that it had at the refusal and raises its limit in steps', () => {
  const cap = ConnectionCap.create()
  cap.recordRefusal(13, 0)
  assert.equal(cap.computeLimit(OWN_LIMIT, 100), 13)
  assert.equal(cap.computeLimit(OWN_LIMIT, 300), 15)
  assert.equal(cap.computeLimit(OWN_LIMIT, 1500), OWN_LIMIT)
  assert.equal(cap.findNextStepMs(OWN_LIMIT, 1500), undefined)
})

test('an owner without a refused connection uses its own limit', () => {
  assert.equal(ConnectionCap.create().computeLimit(OWN_LIMIT, 0), OWN_LIMIT)
  assert.equal(ConnectionCap.create().findNextStepMs(OWN_LIMIT, 0), undefined)
})
