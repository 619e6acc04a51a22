import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import { ConfigurationReplica } from '../../src/configuration/configuration-replica.js'
import { createOrganisationObject } from '../fixtures/create-organisation-object.js'

const put = (name: string, version: number): ConfigurationChange => ({ type: 'put', object: createOrganisationObject(name, version) })

function createReplica (changes: ConfigurationChange[]): ConfigurationReplica {
  const replica = ConfigurationReplica.create()
  replica.applyStoreChanges(changes)
  return replica
}

describe('ConfigurationReplica', () => {
  // Guards against a host that goes back to an old configuration after a stale relay or an old snapshot from a peer.
  it('refuses older deltas and snapshots', () => {
    const old = createReplica([put('a', 1)])
    const replica = createReplica([put('a', 1), put('a', 5)])
    assert.equal(replica.apply(old.createSnapshot()), 'stale')
    assert.equal(replica.apply({ fromVersion: 1, toVersion: 4, changes: [put('a', 4)], digest: '' }), 'stale')
    assert.equal(replica.version, 5)
  })

  // Guards against a delta whose base is missing, and against one that was damaged on the way.
  it('reports a gap and a wrong digest and stays unchanged', () => {
    const relay = createReplica([put('a', 1), put('b', 2), put('c', 3)])
    const replica = createReplica([put('a', 1)])
    assert.equal(replica.apply(relay.createUpdate(2) as never), 'gap')
    const skipping = relay.createUpdate(1)
    assert.ok(skipping)
    assert.equal(replica.apply({ ...skipping, changes: skipping.changes.slice(1) }), 'damaged')
    assert.equal(replica.apply(skipping), 'applied')
    assert.equal(replica.digest, relay.digest)
  })

  // Guards against a change that a faulty watch left out: the next list from the store has the same version.
  it('takes a list of the store with an equal version but other content, and no such snapshot from a peer', () => {
    const store = createReplica([put('a', 1), put('b', 2), put('c', 3)])
    const skipped = createReplica([put('a', 1), put('c', 3)])
    assert.equal(skipped.apply(store.createSnapshot()), 'stale')
    assert.equal(skipped.apply(store.createSnapshot(), { isFromStore: true }), 'applied')
    assert.equal(skipped.digest, store.digest)
  })

  it('ignores changes that a watch repeats', () => {
    const replica = createReplica([put('a', 1), put('b', 2)])
    const before = replica.digest
    assert.equal(replica.applyStoreChanges([put('a', 1), put('b', 2)]), null)
    assert.equal(replica.digest, before)
  })

  // Guards against a withdrawn object that stays because its removal is not in a snapshot.
  it('drops what a snapshot does not hold', () => {
    const source = createReplica([put('a', 1), put('b', 2), { type: 'delete', kind: 'organisation', name: 'a', version: 3 }])
    const replica = createReplica([put('a', 1)])
    assert.equal(replica.apply(source.createSnapshot()), 'applied')
    assert.equal(replica.find('organisation', 'a'), undefined)
  })

  // Guards against two relays or a restarted one leaving hosts with different content at the same version.
  it('ends with the same content over any order of deltas from two relays, repeated or lost', () => {
    fc.assert(fc.property(
      fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd'), fc.boolean()), { minLength: 1, maxLength: 30 }),
      fc.array(fc.tuple(fc.nat(30), fc.nat(30)), { maxLength: 40 }),
      (operations, deliveries) => {
        const changes = operations.map(([name, isDelete], index): ConfigurationChange => isDelete
          ? { type: 'delete', kind: 'organisation', name, version: index + 1 }
          : put(name, index + 1))
        const relay = createReplica([])
        const updates = changes.map((change) => relay.applyStoreChanges([change]))
        const replica = ConfigurationReplica.create()
        let version = 0
        for (const [index, from] of deliveries) {
          const other = createReplica(changes.slice(0, index + 1))
          const update = from % 2 === 0 ? updates[index] : other.createUpdate(Math.min(from, other.version))
          if (update !== undefined && update !== null) replica.apply(update)
          assert.ok(replica.version >= version)
          version = replica.version
        }
        replica.apply(relay.createSnapshot())
        assert.equal(replica.digest, relay.digest)
      }
    ), { seed: 20261204 })
  })
})
