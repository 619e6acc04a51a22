import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { entrySchema } from '@tanagerusher/state/configuration/entry'
import type { ConfigurationChange } from '@tanagerusher/state/configuration/configuration-change'
import { KeySet } from '../../src/keys/key-set.js'

const check = { organisation: 'o1', keyName: 'k1', generation: 1, entryName: 'e1' }

function putKey (name: string, fields: { generation?: number, withdrawn?: boolean, salt?: string, version?: number } = {}): ConfigurationChange {
  const { version = 1, generation = 1, withdrawn = false, salt = 'c2FsdA==' } = fields
  const value = { organisation: 'o1', generation, withdrawn, salt, iterations: 16, storedKey: '', serverKey: '' }
  return { type: 'put', object: { kind: 'key', name, version, value } }
}

function putEntry (owner: string | null): ConfigurationChange {
  return { type: 'put', object: { kind: 'entry', name: 'e1', version: 1, value: entrySchema.parse({ owner, group: 'g' }) } }
}

function createSet (...changes: ConfigurationChange[]): KeySet {
  const keys = KeySet.create()
  keys.apply({ fromVersion: 0, changes })
  return keys
}

describe('KeySet', () => {
  // Guards against a session that continues to work with a key that was withdrawn, removed or issued again.
  it('rejects a withdrawn key, a removed key and a key of an earlier generation', () => {
    const keys = createSet(putEntry(null), putKey('k1'))
    assert.equal(keys.check(check), 'allowed')
    keys.apply({ fromVersion: 1, changes: [putKey('k1', { withdrawn: true })] })
    assert.equal(keys.check(check), 'key-withdrawn')
    keys.apply({ fromVersion: 2, changes: [putKey('k1', { generation: 2 })] })
    assert.equal(keys.check(check), 'key-withdrawn')
    assert.equal(keys.check({ ...check, generation: 2 }), 'allowed')
    keys.apply({ fromVersion: 3, changes: [{ type: 'delete', kind: 'key', name: 'k1', version: 4 }] })
    assert.equal(keys.check({ ...check, generation: 2 }), 'key-withdrawn')
    assert.equal(keys.revision, 4)
  })

  it('allows only the owner to use an entry, and an organisation to use only its own keys', () => {
    const keys = createSet(putEntry('o2'), putKey('k1'))
    assert.equal(keys.check(check), 'access-denied')
    assert.equal(keys.check({ ...check, organisation: 'o2' }), 'key-withdrawn')
    assert.equal(keys.check({ ...check, entryName: 'e2' }), 'entry-unknown')
  })

  it('lists only keys that have the salt of the oldest valid key', () => {
    const keys = createSet(putKey('k3', { version: 3 }), putKey('k0', { withdrawn: true, version: 1 }), putKey('k4', { version: 4, salt: 'b3RoZXI=' }), putKey('k2', { version: 2 }))
    assert.deepEqual(keys.listKeys('o1').map(({ name }) => name), ['k2', 'k3'])
    assert.deepEqual(keys.listKeys('nobody'), [])
  })
})
