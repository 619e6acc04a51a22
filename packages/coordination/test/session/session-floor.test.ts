import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SessionFloor } from '../../src/session/session-floor.js'
import { sessionToken } from '../../src/session/session-token.js'

describe('SessionFloor', () => {
  // Guards against a session that reads older data than before because responses of two databases arrive out of order.
  it('never decreases, comparing the term before the position', () => {
    const floor = SessionFloor.create()
    floor.raise('g', { term: 2, position: 5 })
    floor.raise('g', { term: 1, position: 900 })
    floor.raise('g', { term: 2, position: 4 })
    assert.deepEqual(floor.find('g'), { term: 2, position: 5 })
    assert.equal(floor.revision, 1)
  })

  it('is satisfied by no log without a floor, by no log of a lower term, and by a log of a higher term at or above its position', () => {
    const floor = SessionFloor.create()
    assert.equal(floor.isSatisfied('g', { term: 9, position: 9 }), false)
    floor.raise('g', { term: 2, position: 5 })
    assert.equal(floor.isSatisfied('g', { term: 1, position: 900 }), false)
    assert.equal(floor.isSatisfied('g', { term: 3, position: 5 }), true)
  })
})

describe('sessionToken', () => {
  it('encodes the floors of the most recently used groups, with any characters in names', () => {
    const floor = SessionFloor.create()
    for (let index = 0; index < 40; index++) floor.raise(`g|:${index}`, { term: 1, position: index })
    const decoded = sessionToken.decode(sessionToken.encode({ organisation: 'o|1', floors: floor.list() }))._unsafeUnwrap()
    assert.equal(decoded.organisation, 'o|1')
    assert.equal(decoded.floors.size, 32)
    assert.deepEqual(decoded.floors.get('g|:39'), { term: 1, position: 39 })
    assert.equal(decoded.floors.has('g|:0'), false)
  })
})
