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
  // Guards against a floor that misses a write acknowledged between the start of the round and the request.
  it('makes requests that arrive during a round wait for the next one and share it', () => {
    const [a, b] = createGroup()
    const probe = ProbeConfirmation.create({ members })
    assert.deepEqual(probe.handle({ type: 'request', id: '1', deadline: 100 }, 0), [{ type: 'start-round', round: 1 }])
    assert.deepEqual(probe.handle({ type: 'request', id: '2', deadline: 100 }, 1), [])
    assert.deepEqual(probe.handle({ type: 'request', id: '3', deadline: 100 }, 1), [])
    probe.handle({ type: 'status', round: 1, status: a.status }, 2)
    assert.deepEqual(probe.handle({ type: 'status', round: 1, status: b.status }, 2), [
      { type: 'confirm', ids: ['1'], position: a.log }, { type: 'start-round', round: 2 }
    ])
    assert.deepEqual(probe.handle({ type: 'status', round: 1, status: b.status }, 3), [], 'a status of an earlier round is ignored')
    probe.handle({ type: 'status', round: 2, status: a.status }, 3)
    assert.deepEqual(probe.handle({ type: 'status', round: 2, status: b.status }, 3), [{ type: 'confirm', ids: ['2', '3'], position: a.log }])
  })

  // Guards against a floor from a replaced primary when the old primary and the proxy are partitioned from the rest together.
  it('does not confirm a position without a majority or when a member has promised a higher term', () => {
    for (const isRaised of [false, true]) {
      const [a, b] = createGroup()
      if (isRaised) b.raiseTerm(2)
      const probe = ProbeConfirmation.create({ members })
      probe.handle({ type: 'request', id: '1', deadline: 100 }, 0)
      assert.deepEqual(probe.handle({ type: 'status', round: 1, status: a.status }, 1), [])
      if (isRaised) assert.deepEqual(probe.handle({ type: 'status', round: 1, status: b.status }, 1), [])
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
