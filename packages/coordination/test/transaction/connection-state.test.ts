import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionState } from '../../src/transaction/connection-state.js'
import { PendingRequests } from '../../src/transaction/pending-requests.js'

const clean = { mayLeaveState: false }

describe('ConnectionState', () => {
  it('stays assigned to its session until the transaction ends, including a failed transaction', () => {
    const state = ConnectionState.create()
    assert.ok(state.start('s1', 'r1'))
    assert.equal(state.finish({ requestId: 'r1', status: 'T', ...clean }), 'keep')
    assert.ok(state.start('s1', 'r2'))
    assert.equal(state.finish({ requestId: 'r2', status: 'E', ...clean }), 'keep')
    assert.ok(state.start('s1', 'r3'))
    assert.equal(state.finish({ requestId: 'r3', status: 'I', ...clean }), 'reuse')
    assert.ok(state.start('s2', 'r4'))
  })

  // Guards against a statement of one session that runs in the transaction of another.
  it('is destroyed when another session starts a request on a pinned or running connection', () => {
    for (const status of ['T', undefined] as const) {
      const state = ConnectionState.create()
      state.start('s1', 'r1')
      if (status !== undefined) state.finish({ requestId: 'r1', status, ...clean })
      assert.equal(state.start('s2', 'r2'), false)
      assert.ok(state.isDestroyed)
    }
  })

  // Guards against a session that inherits settings of the previous one, including settings made early in a transaction.
  it('is reset before reuse when any request of the transaction may have left session state', () => {
    const state = ConnectionState.create()
    state.start('s1', 'r1')
    state.finish({ requestId: 'r1', status: 'T', mayLeaveState: true })
    state.start('s1', 'r2')
    assert.equal(state.finish({ requestId: 'r2', status: 'I', ...clean }), 'reset')
    assert.equal(state.isIdle, false)
    assert.equal(state.finishReset(true), 'reuse')
    state.start('s2', 'r3')
    assert.equal(state.finish({ requestId: 'r3', status: 'I', mayLeaveState: true }), 'reset')
    assert.equal(state.finishReset(false), 'destroy')
  })

  // Guards against a response that arrives after its request was aborted and is taken for the response to the next request.
  it('is destroyed by a response to a request that is not running', () => {
    const state = ConnectionState.create()
    state.start('s1', 'r1')
    assert.equal(state.finish({ requestId: 'r0', status: 'I', ...clean }), 'destroy')
    assert.equal(state.start('s1', 'r2'), false)
  })

  // Guards against a late cancel that reaches a statement of another session.
  it('allows one cancel at a time, only for the running request, and is not reused after one that may still be in flight', () => {
    const state = ConnectionState.create()
    assert.equal(state.startCancel('r1'), false)
    state.start('s1', 'r1')
    assert.equal(state.startCancel('r0'), false)
    assert.equal(state.startCancel('r1'), true)
    assert.equal(state.startCancel('r1'), false)
    state.finishCancel(true)
    assert.equal(state.finish({ requestId: 'r1', status: 'I', ...clean }), 'reuse')
    for (const isDelivered of [undefined, false]) {
      const uncertain = ConnectionState.create()
      uncertain.start('s1', 'r1')
      uncertain.startCancel('r1')
      if (isDelivered !== undefined) uncertain.finishCancel(isDelivered)
      assert.equal(uncertain.finish({ requestId: 'r1', status: 'I', ...clean }), 'destroy')
    }
  })
})

describe('PendingRequests', () => {
  it('accepts each identifier for one request and one response for each request', () => {
    const pending = PendingRequests.create()
    assert.ok(pending.add('r1', 's1', 'e1'))
    assert.equal(pending.add('r1', 's2', 'e2'), false)
    assert.deepEqual(pending.listByOwner('e1'), ['r1'])
    assert.ok(pending.take('r1'))
    assert.equal(pending.take('r1'), false)
    assert.equal(pending.setPhase('r1', 'sent'), false)
    assert.equal(pending.size, 0)
  })
})
