import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FloorProbe } from '../../src/session/floor-probe.js'

const position = { term: 1, position: 7 }
const deadline = 1000

describe('FloorProbe', () => {
  // Guards against a floor from a probe that was sent before the session began: it may be lower than the caller's last write at
  // another host.
  it('resolves the wait of a session with the position of a probe that was sent after the session began', () => {
    const probe = FloorProbe.create({ retryDelayMs: 100 })
    assert.deepEqual(probe.handle({ type: 'wait', waiter: 1, since: 0, deadline }, 1), [{ type: 'send', probe: 1 }])
    assert.deepEqual(probe.handle({ type: 'wait', waiter: 2, since: 5, deadline }, 6), [])
    assert.deepEqual(probe.handle({ type: 'succeeded', probe: 1, position }, 10), [
      { type: 'resolve', waiters: [1], position }, { type: 'send', probe: 2 }
    ])
    assert.deepEqual(probe.handle({ type: 'succeeded', probe: 2, position }, 12), [{ type: 'resolve', waiters: [2], position }])
    assert.deepEqual(probe.handle({ type: 'wait', waiter: 3, since: 9, deadline }, 20), [{ type: 'resolve', waiters: [3], position }])
  })

  it('sends a failed probe again after a delay, discards its late response and lets a waiter time out at its deadline', () => {
    const probe = FloorProbe.create({ retryDelayMs: 100 })
    probe.handle({ type: 'wait', waiter: 1, since: 0, deadline }, 1)
    assert.deepEqual(probe.handle({ type: 'failed', probe: 1 }, 10), [])
    assert.equal(probe.findNextDeadline(), 110)
    assert.deepEqual(probe.handle({ type: 'tick' }, 110), [{ type: 'send', probe: 2 }])
    assert.deepEqual(probe.handle({ type: 'succeeded', probe: 1, position }, 120), [])
    assert.deepEqual(probe.handle({ type: 'tick' }, deadline), [{ type: 'expire', waiters: [1] }])
    assert.equal(probe.findNextDeadline(), undefined)
  })
})
