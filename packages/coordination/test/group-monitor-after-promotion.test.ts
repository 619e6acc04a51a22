import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import { GroupMonitor } from '../src/failover/group-monitor.js'

const members = ['a', 'b', 'c']
const buildStatus = (database: string, term: number, primary: string): DatabaseStatus => ({
  database, role: database === primary ? 'primary' : 'replica', promisedTerm: term, log: { term, position: 1 }, termStart: 1, primary, linkSilentMs: 0, connections: 0
})

test('a successful promotion is not repeated because of statuses reported before it', () => {
  const monitor = GroupMonitor.create({ members, rank: 0, now: 0 })
  for (const database of members) monitor.handle({ type: 'status', status: buildStatus(database, 1, 'a') }, 0)
  assert.equal(monitor.handle({ type: 'refused', database: 'a' }, 10)[0]?.type, 'start-promotion')
  assert.deepEqual(monitor.handle({ type: 'promotion-ended', succeeded: true, retryAfterMs: 0 }, 20), [])
  assert.deepEqual(monitor.handle({ type: 'tick' }, 30), [])
  monitor.handle({ type: 'status', status: buildStatus('b', 2, 'b') }, 40)
  monitor.handle({ type: 'status', status: buildStatus('c', 2, 'b') }, 40)
  assert.deepEqual(monitor.handle({ type: 'tick' }, 630).filter(({ type }) => type === 'start-promotion'), [])
})

test('a failed promotion is started again after its back-off', () => {
  const monitor = GroupMonitor.create({ members, rank: 0, now: 0 })
  for (const database of members) monitor.handle({ type: 'status', status: buildStatus(database, 1, 'a') }, 0)
  monitor.handle({ type: 'refused', database: 'a' }, 10)
  assert.deepEqual(monitor.handle({ type: 'promotion-ended', succeeded: false, retryAfterMs: 100 }, 20), [])
  assert.equal(monitor.handle({ type: 'tick' }, 120)[0]?.type, 'start-promotion')
})
