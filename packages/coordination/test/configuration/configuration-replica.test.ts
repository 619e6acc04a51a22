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
  // Guards against a host that reverts to an old configuration after an update from a stale relay or an old snapshot from a peer.
  it('rejects older deltas and snapshots', () => {
    const old = createReplica([put('a', 1)])
    const replica = createReplica([put('a', 1), put('a', 5)])
    assert.equal(replica.apply(old.createSnapshot()), 'stale')
    assert.equal(replica.apply({ fromVersion: 1, toVersion: 4, changes: [put('a', 4)], digest: '' }), 'stale')
    assert.equal(replica.version, 5)
  })

  // Guards against applying a delta whose base is missing, or one that was damaged in transit.
  it('reports a gap or a wrong digest and stays unchanged', () => {
    const relay = createReplica([put('a', 1), put('b', 2), put('c', 3)])
    const replica = createReplica([put('a', 1)])
    assert.equal(replica.apply(relay.createUpdate(2) as never), 'gap')
    const skipping = relay.createUpdate(1)
    assert.ok(skipping)
    assert.equal(replica.apply({ ...skipping, changes: skipping.changes.slice(1) }), 'damaged')
    assert.equal(replica.apply(skipping), 'applied')
    assert.equal(replica.digest, relay.digest)
  })

  // Guards against a change that stays missing after a faulty watch skipped it, since the next list from the store has the same version.
  it('applies a snapshot of equal version but different content from the store, but not from a peer', () => {
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

  // Guards against a removed object that is kept because a snapshot does not list removals.
  it('removes objects that a snapshot does not contain', () => {
    const source = createReplica([put('a', 1), put('b', 2), { type: 'delete', kind: 'organisation', name: 'a', version: 3 }])
    const replica = createReplica([put('a', 1)])
    assert.equal(replica.apply(source.createSnapshot()), 'applied')
    assert.equal(replica.find('organisation', 'a'), undefined)
  })

  // Guards against hosts with different content at the same version after updates from two relays or from a restarted relay.
  it('ends with the same content for any order of deltas from two relays, including repeated and lost ones', () => {
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
