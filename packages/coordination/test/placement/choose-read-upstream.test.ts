import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseReadUpstream } from '../../src/placement/choose-read-upstream.js'

const replica = { id: 'replica', isLeader: false, isLeaving: false, distanceMs: 1, waitMs: 0, isBehind: false }
const far = { ...replica, id: 'far', distanceMs: 40 }
const leader = { ...replica, id: 'leader', isLeader: true }

test('a read goes where it is expected to be answered first, and leaves the primary to writes', () => {
  assert.equal(chooseReadUpstream([leader, replica, far])?.id, 'replica')
  assert.equal(chooseReadUpstream([leader, { ...replica, waitMs: 60 }, far])?.id, 'leader')
  assert.equal(chooseReadUpstream([{ ...leader, waitMs: 90 }, { ...replica, waitMs: 60 }, far])?.id, 'far')
})

test('a replica that leaves gets no reads; a primary that leaves still does', () => {
  assert.equal(chooseReadUpstream([{ ...replica, isLeaving: true }, far])?.id, 'far')
  assert.equal(chooseReadUpstream([{ ...leader, isLeaving: true }])?.id, 'leader')
})

test('a replica that was behind a moment ago is left alone while anything else serves (each try there was lost time)', () => {
  assert.equal(chooseReadUpstream([leader, { ...replica, isBehind: true }, far])?.id, 'leader')
  assert.equal(chooseReadUpstream([{ ...replica, isBehind: true }])?.id, 'replica')
})
