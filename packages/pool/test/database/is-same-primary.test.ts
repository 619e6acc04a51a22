import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import { isSamePrimary } from '../../src/database/is-same-primary.js'

const status: DatabaseStatus = { database: 'a', role: 'primary', promisedTerm: 2, log: { term: 2, position: 9 }, termStart: 1, primary: 'a', linkSilentMs: 0, connections: 1 }

// Guards against acknowledging a write that a database truncated when it was demoted between the write and the status query.
test('a status that a database reports after its demotion is not from the primary that executed the write', () => {
  assert.equal(isSamePrimary(status, 2), true)
  assert.equal(isSamePrimary({ ...status, promisedTerm: 3 }, 2), true)
  assert.equal(isSamePrimary({ ...status, role: 'replica', primary: 'b' }, 2), false)
  assert.equal(isSamePrimary({ ...status, log: { term: 4, position: 12 }, promisedTerm: 4 }, 2), false)
  assert.equal(isSamePrimary(status, undefined), false)
})
