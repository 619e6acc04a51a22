import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import { listOwnerCandidates } from '../../src/membership/list-owner-candidates.js'
import { UpstreamDirectory } from '../../src/membership/upstream-directory.js'

const record: UpstreamRecord = { id: 'd1', group: 'g', address: '127.0.0.1:1', dataCentre: 'a', slots: 3, isLeaving: false, claimsPrimary: true, startedAt: 0, revision: 1 }

test('an entry that expired while the store was unreachable is retained only until its database has had time to register again', () => {
  const directory = UpstreamDirectory.create()
  directory.applyRecord(record)
  directory.remove('d1', 10_000, 10_100)
  assert.equal(directory.find('d1', 12_000)?.id, 'd1')
  assert.equal(directory.find('d1', 12_600), undefined)
  assert.deepEqual(directory.listGroup('g', 12_600), [])
})

test('an entry removed while the store is reachable disappears immediately, because its address may soon be reused', () => {
  const directory = UpstreamDirectory.create()
  directory.applyRecord(record)
  directory.remove('d1', undefined, 100)
  assert.equal(directory.find('d1', 100), undefined)
  directory.applyRecord(record)
  directory.remove('d1', 10_000, 60_000)
  assert.equal(directory.find('d1', 60_000), undefined)
})

test('owner candidates are hosts of the data centre, then of the region, then all others, in the same order on every host', () => {
  const hosts = ['a', 'a', 'b', 'c'].map((dataCentre, index): HostRecord => ({
    host: `h${index}`, incarnation: 'i', address: '127.0.0.1', port: 1, dataCentre, region: dataCentre === 'c' ? 'far' : 'near'
  }))
  const regions = new Map([['a', 'near'], ['b', 'near'], ['c', 'far']])
  const order = listOwnerCandidates(record, hosts, regions)
  assert.deepEqual(order.map(({ dataCentre }) => dataCentre), ['a', 'a', 'b', 'c'])
  assert.deepEqual(listOwnerCandidates(record, [...hosts].reverse(), regions), order)
})
