import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ProbeConfirmation } from '../../src/failover/probe-confirmation.js'
import { FakeDatabase } from './fixtures/fake-database.js'

const members = ['a', 'b', 'c']

function createGroup (): [FakeDatabase, FakeDatabase, FakeDatabase] {
  const [a, b, c] = members.map((name) => new FakeDatabase(name, [1, 1])) as [FakeDatabase, FakeDatabase, FakeDatabase]
  a.role = 'primary'
  return [a, b, c]
}

describe('ProbeConfirmation', () => {
  // Guards against a floor below a write that was acknowledged between the start of the round and the request.
  it('lets a request that arrives during a round wait for the next one, and shares that one', () => {
    const [a, b] = createGroup()
    const probe = ProbeConfirmation.create({ members })
    assert.deepEqual(probe.handle({ type: 'request', id: '1', deadline: 100 }, 0), [{ type: 'start-round', round: 1 }])
    assert.deepEqual(probe.handle({ type: 'request', id: '2', deadline: 100 }, 1), [])
    assert.deepEqual(probe.handle({ type: 'request', id: '3', deadline: 100 }, 1), [])
    probe.handle({ type: 'status', round: 1, status: a.status }, 2)
    assert.deepEqual(probe.handle({ type: 'status', round: 1, status: b.status }, 2), [
      { type: 'confirm', ids: ['1'], position: a.log }, { type: 'start-round', round: 2 }
    ])
    assert.deepEqual(probe.handle({ type: 'status', round: 1, status: b.status }, 3), [], 'an answer of an old round')
    probe.handle({ type: 'status', round: 2, status: a.status }, 3)
    assert.deepEqual(probe.handle({ type: 'status', round: 2, status: b.status }, 3), [{ type: 'confirm', ids: ['2', '3'], position: a.log }])
  })

  // Guards against a floor from a primary that was replaced: old primary and proxy are cut off together.
  it('confirms nothing without a majority, or when one member promised a higher term', () => {
    for (const raise of [false, true]) {
      const [a, b] = createGroup()
      if (raise) b.raiseTerm(2)
      const probe = ProbeConfirmation.create({ members })
      probe.handle({ type: 'request', id: '1', deadline: 100 }, 0)
      assert.deepEqual(probe.handle({ type: 'status', round: 1, status: a.status }, 1), [])
      if (raise) assert.deepEqual(probe.handle({ type: 'status', round: 1, status: b.status }, 1), [])
      assert.equal(probe.handle({ type: 'round-ended', round: 1 }, 2)[0]?.type, 'reject')
    }
  })

  it('rejects requests at their deadline', () => {
    const probe = ProbeConfirmation.create({ members })
    probe.handle({ type: 'request', id: '1', deadline: 10 }, 0)
    probe.handle({ type: 'request', id: '2', deadline: 20 }, 0)
    assert.equal(probe.findNextDeadline(), 10)
    assert.deepEqual((probe.handle({ type: 'tick' }, 15)[0] as { ids: string[] }).ids, ['1'])
  })
})
