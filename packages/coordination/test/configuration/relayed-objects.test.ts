import assert from 'node:assert/strict'
import { test } from 'node:test'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
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
  assert.deepEqual(other.applyDelta(delta), { removed: ['b'], changed: [object('a', 11)] })
  assert.deepEqual(other.compare(relay.describeState(undefined, 1000), 2000), { type: 'confirmed' })
})

test('an older copy neither confirms nor reverts a newer one', () => {
  const { relay, other } = createEqualCopies()
  const olderState = other.describeState(undefined, 0)
  relay.applyChanges([{ object: object('a', 11), isRemoved: false }], 12)
  assert.deepEqual(relay.compare(olderState, 100), { type: 'nothing' })
  assert.equal(relay.applyDelta({ era: 0, revision: 11, names: [], changed: [] }), undefined)
  assert.equal(relay.objects.length, 2)
})

test('a copy that was never loaded neither confirms another copy nor counts as newer', () => {
  const { other } = createEqualCopies()
  assert.deepEqual(other.compare(RelayedObjects.create().describeState(undefined, 0), 100), { type: 'nothing' })
})

const decodeRevision = (era: number, revision: number): number => orderedRevision.decode({ era, revision }) as number

/** A copy from before a restore and one from after it, whose revision has not reached the earlier one again. */
function createRestoredCopies (): { before: RelayedObjects, after: RelayedObjects } {
  const before = RelayedObjects.create()
  const after = RelayedObjects.create()
  before.applyList([object('a', decodeRevision(1, 18)), object('lost', decodeRevision(1, 20))], decodeRevision(1, 20))
  after.applyList([object('a', decodeRevision(2, 18))], decodeRevision(2, 19))
  return { before, after }
}

test('a copy from before a restore adopts the restored one, although its revision is lower', () => {
  const { before, after } = createRestoredCopies()
  after.confirm(1000)
  assert.deepEqual(before.compare(after.describeState(undefined, 1000), 1000), { type: 'newer' })
  assert.deepEqual(after.compare(before.describeState(undefined, 1000), 1000), { type: 'nothing' })
  assert.equal(after.applyDelta(before.listChanges(after.revision)), undefined)
  assert.deepEqual(before.applyDelta(after.listChanges(before.revision))?.removed, ['lost'])
  assert.deepEqual(before.compare(after.describeState(undefined, 1000), 1000), { type: 'confirmed' })
})

test('a restored copy with the same names and counters does not confirm one from before', () => {
  const { before } = createRestoredCopies()
  const after = RelayedObjects.create()
  after.applyList([object('a', decodeRevision(2, 18)), object('lost', decodeRevision(2, 20))], decodeRevision(2, 20))
  after.confirm(1000)
  assert.deepEqual(before.compare(after.describeState(undefined, 1000), 1000), { type: 'newer' })
  assert.equal(before.readConfirmationAgeMs(1000), Infinity)
})

test('a list that is older than the copy does not replace its objects', () => {
  const { before, after } = createRestoredCopies()
  assert.equal(after.applyList(before.objects, before.revision), undefined)
  assert.deepEqual(after.objects.map(({ name }) => name), ['a'])
})
