import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionState } from '../../src/transaction/connection-state.js'
import { PendingRequests } from '../../src/transaction/pending-requests.js'

const clean = { mayLeaveState: false }

describe('ConnectionState', () => {
  it('stays with its session until the transaction ends, in the error state too', () => {
    const state = ConnectionState.create()
    assert.ok(state.start('s1', 'r1'))
    assert.equal(state.finish({ requestId: 'r1', status: 'T', ...clean }), 'keep')
    assert.ok(state.start('s1', 'r2'))
    assert.equal(state.finish({ requestId: 'r2', status: 'E', ...clean }), 'keep')
    assert.ok(state.start('s1', 'r3'))
    assert.equal(state.finish({ requestId: 'r3', status: 'I', ...clean }), 'reuse')
    assert.ok(state.start('s2', 'r4'))
  })

  // Guards against one session's statement in another one's transaction.
  it('destroys itself when another session asks for a pinned or running connection', () => {
    for (const status of ['T', undefined] as const) {
      const state = ConnectionState.create()
      state.start('s1', 'r1')
      if (status !== undefined) state.finish({ requestId: 'r1', status, ...clean })
      assert.equal(state.start('s2', 'r2'), false)
      assert.ok(state.isDestroyed)
    }
  })

  // Guards against settings of one session that the next one inherits, also when they were made early in a transaction.
  it('is reset before reuse when anything in the transaction may have left state behind', () => {
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

  // Guards against an answer that comes after its request was given up and would be taken for the next one's.
  it('destroys itself on an answer for a request that does not run', () => {
    const state = ConnectionState.create()
    state.start('s1', 'r1')
    assert.equal(state.finish({ requestId: 'r0', status: 'I', ...clean }), 'destroy')
    assert.equal(state.start('s1', 'r2'), false)
  })

  // Guards against a cancel that arrives late and hits the statement of another session.
  it('sends one of two cancels, only for the running request, and is not reused while it is under way', () => {
    const state = ConnectionState.create()
    assert.equal(state.startCancel('r1'), false)
    state.start('s1', 'r1')
    assert.equal(state.startCancel('r0'), false)
    assert.equal(state.startCancel('r1'), true)
    assert.equal(state.startCancel('r1'), false)
    state.finishCancel(true)
    assert.equal(state.finish({ requestId: 'r1', status: 'I', ...clean }), 'reuse')
    for (const delivered of [undefined, false]) {
      const doubtful = ConnectionState.create()
      doubtful.start('s1', 'r1')
      doubtful.startCancel('r1')
      if (delivered !== undefined) doubtful.finishCancel(delivered)
      assert.equal(doubtful.finish({ requestId: 'r1', status: 'I', ...clean }), 'destroy')
    }
  })
})

describe('PendingRequests', () => {
  it('gives each identifier to one request and each request one answer', () => {
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
