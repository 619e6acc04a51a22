import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import { CatalogueReplica } from '../../src/catalogue/catalogue-replica.js'

function buildCatalogue (version: number, keys: string[]): Catalogue {
  return {
    version,
    entries: new Map([['db', { database: 'db', group: 'g', consistency: 'primary', maxStalenessMs: 0, statementTimeoutMs: 800, targetLatencyMs: 600, priority: 1, isPublic: false }]]),
    organisationByKey: new Map(keys.map((key) => [key, 'org'])),
    organisations: new Map(),
    groups: new Map(),
    transactionIdleMs: 3000
  }
}

function createReplica (): CatalogueReplica {
  const replica = CatalogueReplica.create({ keyFreshnessMs: 5000 })
  replica.apply(buildCatalogue(7, ['key']))
  return replica
}

test('a host that hears from nobody stops serving keys inside the limit (a withdrawn key would work on)', () => {
  const replica = createReplica()
  replica.confirm(7, 1000)
  assert.equal(replica.checkCaller('db', 'key', 5400).type, 'allowed')
  assert.deepEqual(replica.checkCaller('db', 'key', 6000), { type: 'refused', reason: 'stale' })
})

test('a proof of a newer version than the known one proves nothing about the known one', () => {
  const replica = createReplica()
  replica.confirm(8, 1000)
  assert.deepEqual(replica.checkCaller('db', 'key', 1001), { type: 'refused', reason: 'stale' })
})

test('versions never go back, and a withdrawn key is refused at once', () => {
  const replica = createReplica()
  replica.confirm(7, 0)
  assert.equal(replica.apply(buildCatalogue(9, [])), true)
  assert.equal(replica.apply(buildCatalogue(8, ['key'])), false)
  assert.deepEqual(replica.checkCaller('db', 'key', 1), { type: 'refused', reason: 'key-unknown' })
})

test('after a suspension an earlier proof counts no more', () => {
  const replica = createReplica()
  replica.confirm(7, 1000)
  replica.invalidateProof(1000)
  assert.deepEqual(replica.checkCaller('db', 'key', 1001), { type: 'refused', reason: 'stale' })
})

// Guards against a withdrawn key that works again: an answer that waited in the socket during a suspension looks young.
test('an answer to a question from before a suspension proves nothing, and a later one with an age does', () => {
  const replica = createReplica()
  replica.invalidateProof(1000)
  replica.confirm(7, 999)
  assert.deepEqual(replica.checkCaller('db', 'key', 1001), { type: 'refused', reason: 'stale' })
  replica.confirm(7, 900, 1002)
  assert.equal(replica.checkCaller('db', 'key', 1003).type, 'allowed')
})
