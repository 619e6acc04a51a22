import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import { orderedRevision } from '@tanagerusher/state/common/ordered-revision'
import { listOwnerCandidates } from '../../src/membership/list-owner-candidates.js'
import { UpstreamDirectory } from '../../src/membership/upstream-directory.js'

const record: UpstreamRecord = { id: 'd1', group: 'g', address: '127.0.0.1:1', dataCentre: 'a', slots: 3, isLeaving: false, claimsPrimary: true, startedAt: 0, warmupLeftMs: 0, revision: 1 }

test('an entry that expired while the store was unreachable is retained only until its database has had time to register again', () => {
  const directory = UpstreamDirectory.create()
  directory.applyRecord(record, 0)
  directory.remove('d1', 10_000, 10_100)
  assert.equal(directory.find('d1', 12_000)?.id, 'd1')
  assert.equal(directory.find('d1', 12_600), undefined)
  assert.deepEqual(directory.listGroup('g', 12_600), [])
})

test('an entry removed while the store is reachable disappears immediately, because its address may soon be reused', () => {
  const directory = UpstreamDirectory.create()
  directory.applyRecord(record, 0)
  directory.remove('d1', undefined, 100)
  assert.equal(directory.find('d1', 100), undefined)
  directory.applyRecord(record, 0)
  directory.remove('d1', 10_000, 60_000)
  assert.equal(directory.find('d1', 60_000), undefined)
})

// Guards against a search for the newest commit that leaves out a database which runs without a path to the store.
test('a removed entry is listed as departed until it is back or its retention time has passed', () => {
  const directory = UpstreamDirectory.create()
  directory.applyRecord(record, 0)
  assert.deepEqual(directory.listDeparted('g', 50), [])
  directory.remove('d1', undefined, 100)
  assert.deepEqual(directory.listDeparted('g', 200).map(({ record: { id }, leftAt }) => [id, leftAt]), [['d1', 100]])
  assert.deepEqual(directory.listDeparted('other', 200), [])
  assert.deepEqual(directory.listDeparted('g', 70_000), [])
  directory.applyRecord(record, 70_100)
  directory.remove('d1', undefined, 70_200)
  directory.applyRecord(record, 70_300)
  assert.deepEqual(directory.listDeparted('g', 70_400), [])
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

test('a database that was leaving does not become usable again because a restored store holds its earlier entry', () => {
  const decodeRevision = (era: number, revision: number): number => orderedRevision.decode({ era, revision }) as number
  for (const wasRemoved of [false, true]) {
    const directory = UpstreamDirectory.create()
    directory.applyRecord({ ...record, revision: decodeRevision(1, 10) }, 0)
    directory.applyRecord({ ...record, isLeaving: true, revision: decodeRevision(1, 15) }, 1000)
    if (wasRemoved) directory.remove('d1', undefined, 2000)
    for (const now of [3000, 3100]) {
      directory.applyRecord({ ...record, revision: decodeRevision(2, 10) }, now)
      assert.equal(directory.find('d1', now)?.isLeaving, true)
    }
    directory.applyRecord({ ...record, revision: decodeRevision(2, 11) }, 4000)
    assert.equal(directory.find('d1', 4000)?.isLeaving, false)
  }
})

test('a database that restarted under its id is used, although its earlier life was leaving before a restore of the store', () => {
  const directory = UpstreamDirectory.create()
  directory.applyRecord({ ...record, isLeaving: true, revision: 15 }, 0)
  directory.applyRecord({ ...record, startedAt: 1, revision: orderedRevision.decode({ era: 1, revision: 10 }) as number }, 1000)
  assert.equal(directory.find('d1', 1000)?.isLeaving, false)
})
