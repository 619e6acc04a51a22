import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CommitTracker, type CommitEffect } from '../../src/failover/commit-tracker.js'
import { FakeDatabase } from './fixtures/fake-database.js'

const members = ['a', 'b', 'c']
const acknowledged: CommitEffect[] = [{ type: 'acknowledge', id: 'w' }]

function createGroup (...logs: number[][]): FakeDatabase[] {
  const databases = members.map((name, index) => new FakeDatabase(name, logs[index]))
  for (const database of databases) Object.assign(database, { primary: 'a', promisedTerm: database.log.term })
  ;(databases[0] as FakeDatabase).role = 'primary'
  return databases
}

function observe (tracker: CommitTracker, ...databases: FakeDatabase[]): CommitEffect[] {
  return databases.flatMap(({ status }) => tracker.handle({ type: 'status', status }, 0))
}

describe('CommitTracker', () => {
  it('acknowledges a write when a majority holds it, and immediately when a majority is known to hold it', () => {
    const [a, b] = createGroup([1, 1], [1], [1]) as [FakeDatabase, FakeDatabase]
    const tracker = CommitTracker.create({ members })
    assert.deepEqual(tracker.handle({ type: 'register', id: 'w', position: a.log, deadline: 100 }, 0), [])
    assert.deepEqual(observe(tracker, a, b), [])
    b.replicate(a, 1)
    assert.deepEqual(observe(tracker, b), acknowledged)
    assert.deepEqual(tracker.handle({ type: 'register', id: 'w', position: a.log, deadline: 100 }, 0), acknowledged)
  })

  // Guards against counting entries of an old term, which the next primary may truncate.
  it('does not count a replica with a higher position in an old term or one that promised a higher term', () => {
    const [a, b, c] = createGroup([1, 2], [1, 1, 1], [1]) as [FakeDatabase, FakeDatabase, FakeDatabase]
    const tracker = CommitTracker.create({ members })
    tracker.handle({ type: 'register', id: 'w', position: { term: 2, position: 2 }, deadline: 100 }, 0)
    assert.deepEqual(observe(tracker, a, b), [])
    c.entries = [1, 2]
    c.raiseTerm(3)
    assert.deepEqual(observe(tracker, c), [])
  })

  // Guards against acknowledging a write that an old primary executed after its term had ended.
  it('decides the outcome of a write of an ended term by the history of the new primary', () => {
    for (const { isKept, expected } of [
      { isKept: true, expected: acknowledged },
      { isKept: false, expected: [{ type: 'outcome-unknown', id: 'w', reason: 'the primary changed before a majority held the write' }] }
    ]) {
      const [a, b, c] = createGroup([1, 1], isKept ? [1, 1] : [1], [1]) as [FakeDatabase, FakeDatabase, FakeDatabase]
      const tracker = CommitTracker.create({ members })
      observe(tracker, a)
      tracker.handle({ type: 'register', id: 'w', position: a.log, deadline: 100 }, 0)
      for (const database of [b, c]) database.raiseTerm(2)
      b.promote(2)
      c.follow(2, 'b')
      // Only the new primary holds the first entry of term 2, so a primary of a third term could still drop it.
      assert.deepEqual(observe(tracker, b, c), [])
      c.replicate(b, 5)
      assert.deepEqual(observe(tracker, c), [{ type: 'read-history', database: 'b', term: 2 }])
      assert.deepEqual(tracker.handle({ type: 'history', term: 2, history: b.history, end: b.log }, 0), expected)
    }
  })

  it('reports an unknown outcome at the deadline', () => {
    const [a] = createGroup([1, 1], [1], [1]) as [FakeDatabase]
    const tracker = CommitTracker.create({ members })
    tracker.handle({ type: 'register', id: 'w', position: a.log, deadline: 100 }, 0)
    assert.equal(tracker.findNextDeadline(), 100)
    assert.deepEqual(tracker.handle({ type: 'tick' }, 99), [])
    assert.equal(tracker.handle({ type: 'tick' }, 100)[0]?.type, 'outcome-unknown')
  })
})
