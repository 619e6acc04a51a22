import assert from 'node:assert/strict'
import { test } from 'node:test'
import { RelayedObjects } from '../../src/configuration/relayed-objects.js'

const object = (name: string, revision: number) => ({ name, revision, value: name })

function createEqualCopies (): { relay: RelayedObjects, other: RelayedObjects } {
  const relay = RelayedObjects.create()
  const other = RelayedObjects.create()
  for (const copy of [relay, other]) copy.applyList([object('a', 1), object('b', 2)], 10)
  return { relay, other }
}

test('an equal copy adopts the confirmation with its age, counted from before the ping', () => {
  const { relay, other } = createEqualCopies()
  relay.confirm(1000)
  assert.deepEqual(other.compare(relay.describeState(undefined, 1300), 5000), { type: 'confirmed' })
  assert.equal(other.readConfirmationAgeMs(5000), 300)
})

test('a delta transfers changes and removals to the other copy, which is confirmed only once it is equal', () => {
  const { relay, other } = createEqualCopies()
  relay.applyChanges([{ object: object('a', 11), isRemoved: false }, { object: object('b', 2), isRemoved: true }], 12)
  relay.confirm(1000)
  assert.deepEqual(other.compare(relay.describeState(undefined, 1000), 2000), { type: 'newer' })
  assert.equal(other.readConfirmationAgeMs(2000), Infinity)
  const delta = relay.listChanges(other.revision)
  assert.deepEqual(delta.changed.map(({ name }) => name), ['a'])
  assert.deepEqual(other.applyDelta(delta), { removed: ['b'] })
  assert.deepEqual(other.compare(relay.describeState(undefined, 1000), 2000), { type: 'confirmed' })
})

test('an older copy neither confirms nor reverts a newer one', () => {
  const { relay, other } = createEqualCopies()
  const olderState = other.describeState(undefined, 0)
  relay.applyChanges([{ object: object('a', 11), isRemoved: false }], 12)
  assert.deepEqual(relay.compare(olderState, 100), { type: 'nothing' })
  assert.equal(relay.applyDelta({ revision: 11, names: [], changed: [] }), undefined)
  assert.equal(relay.objects.length, 2)
})

test('a copy that was never loaded neither confirms another copy nor counts as newer', () => {
  const { other } = createEqualCopies()
  assert.deepEqual(other.compare(RelayedObjects.create().describeState(undefined, 0), 100), { type: 'nothing' })
})
