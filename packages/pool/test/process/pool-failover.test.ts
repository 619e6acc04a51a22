import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PoolProcess } from '../../src/process/pool-process.js'
import { readValues } from '../fixtures/read-values.js'
import { PoolFixture } from '../fixtures/pool-fixture.js'

const buildInsert = (id: string): string => `INSERT INTO payment (id, organisation, stallholder, amount) VALUES ('${id}', 'o1', 's', 5)`
const buildSelect = (id: string): string => `SELECT id FROM payment WHERE id = '${id}'`

async function runWithFixture (test: (fixture: PoolFixture) => Promise<void>, options: Parameters<typeof PoolFixture.start>[0] = {}): Promise<void> {
  const fixture = await PoolFixture.start(options)
  try {
    await test(fixture)
  } finally {
    await fixture.close()
  }
}

describe('failover of the pool process', () => {
  it('promotes a replica when the primary crashes, keeps acknowledged writes, and lets the old primary rejoin as a replica', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.execute({ sql: buildInsert('f1') })
      await fixture.setFaults({ databases: { a: { crashed: true } } })
      await fixture.waitUntil(() => fixture.primary != null && fixture.primary !== 'a')
      assert.equal(readValues((await fixture.execute({ sql: buildSelect('f1') })).frames).rows.length, 1)
      const { position } = await fixture.execute({ sql: buildInsert('f2') })
      await fixture.setFaults({})
      await fixture.waitUntil(() => fixture.statuses.at(-1)?.members.find(({ database }) => database === 'a')?.log.term === position?.term)
      const read = await fixture.execute({ sql: buildSelect('f2'), access: 'read', database: 'a', floor: position })
      assert.equal(readValues(read.frames).rows.length, 1)
    }, { pools: 3 })
  })

  // Guards against acknowledging a write of a partitioned old primary that no majority holds.
  it('reports an unknown outcome for a write that only a partitioned primary executed, and the new primary lacks it', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.setFaults({ partitions: [{ from: 'a', to: '*' }, { from: '*', to: 'a' }] })
      await assert.rejects(fixture.execute({ sql: buildInsert('o1'), database: 'a', deadlineMs: 8000 }), { kind: 'outcome-unknown' })
      await fixture.waitUntil(() => fixture.primary != null && fixture.primary !== 'a')
      assert.equal(readValues((await fixture.execute({ sql: buildSelect('o1') })).frames).rows.length, 0)
    })
  })

  it('promotes no database and refuses writes as not run when only one database is reachable', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.setFaults({ databases: { b: { crashed: true }, c: { crashed: true } } })
      await fixture.waitUntil(() => fixture.statuses.at(-1)?.members.filter(({ reachable }) => reachable).length === 1)
      await assert.rejects(fixture.execute({ sql: buildInsert('n1'), database: 'a' }), { kind: 'unavailable' })
      assert.equal(fixture.statuses.at(-1)?.term, 1)
    })
  })

  it('does not replace a primary that is only slow', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.setFaults({ databases: { a: { extraServiceMs: 1500 } } })
      await fixture.execute({ sql: buildInsert('s1') })
      assert.equal(fixture.primary, 'a')
      assert.equal(fixture.statuses.at(-1)?.term, 1)
    })
  })

  it('changes the primary when it is leaving, without losing a transaction, and later work runs at the new primary', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.execute({ sql: 'BEGIN', transaction: 'begin' })
      await fixture.execute({ sql: buildInsert('h1'), transaction: 'continue' })
      const databases = fixture.group.databases.map((database) => ({ ...database, leaving: database.name === 'a' }))
      fixture.control.updateGroup({ ...fixture.group, databases })
      const waiting = fixture.execute({ sql: buildInsert('h2'), sessionId: 's2', database: 'a' }).then(() => 'done', (error) => error.kind)
      assert.ok((await fixture.execute({ sql: 'COMMIT', transaction: 'continue', database: 'a' })).position !== null)
      await fixture.waitUntil(() => fixture.primary != null && fixture.primary !== 'a')
      assert.ok(['done', 'unavailable'].includes(await waiting))
      assert.equal(readValues((await fixture.execute({ sql: buildSelect('h1') })).frames).rows.length, 1)
      await assert.rejects(fixture.execute({ sql: buildSelect('h1'), access: 'read', database: 'a' }), { kind: 'unavailable' })
    })
  })

  it('changes the primary to the one that an operator wants', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.execute({ sql: buildInsert('w1') })
      fixture.control.updateGroup({ ...fixture.group, wantedPrimary: 'c' })
      await fixture.waitUntil(() => fixture.primary === 'c')
      assert.equal(readValues((await fixture.execute({ sql: buildSelect('w1') })).frames).rows.length, 1)
    })
  })

  // Guards against a transaction that reads outdated rows at a partitioned primary which has a successor.
  it('refuses transactions and locking reads without a majority when the session has no floor', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.execute({ sql: buildInsert('r1') })
      await fixture.setFaults({ databases: { b: { paused: true }, c: { paused: true } } })
      await assert.rejects(fixture.execute({ sql: 'BEGIN', transaction: 'begin', database: 'a', deadlineMs: 1500 }), { kind: 'unavailable' })
      await assert.rejects(fixture.execute({ sql: `${buildSelect('r1')} FOR UPDATE`, database: 'a', deadlineMs: 1500 }))
    })
  })

  // Guards against requests that wait forever because the pool closed the connections of a leaving database and never reopens them.
  it('serves requests at a leaving database that becomes the primary because the others are lost', async () => {
    await runWithFixture(async (fixture) => {
      const databases = fixture.group.databases.map((database) => ({ ...database, leaving: database.name !== 'a' }))
      fixture.control.updateGroup({ ...fixture.group, databases })
      await assert.rejects(fixture.execute({ sql: buildSelect('x'), access: 'read', database: 'b' }), { kind: 'unavailable' })
      await fixture.setFaults({ databases: { a: { crashed: true } } })
      await fixture.waitUntil(() => fixture.primary != null && fixture.primary !== 'a')
      assert.ok((await fixture.execute({ sql: buildInsert('g1') })).position !== null)
    })
  })

  // Guards against stale reads. The pool, not the entry, decides whether the replica holds the floor.
  it('refuses a read as not run when the replica does not reach the floor within the wait limit', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.setFaults({ lags: [{ from: '*', to: 'c', ms: 60_000 }] })
      const { position } = await fixture.execute({ sql: buildInsert('r1') })
      await assert.rejects(fixture.execute({ sql: buildSelect('r1'), access: 'read', database: 'c', floor: position }), { kind: 'unavailable' })
      const read = await fixture.execute({ sql: buildSelect('r1'), access: 'read', database: 'b', floor: position })
      assert.equal(readValues(read.frames).rows.length, 1)
    })
  })

  // Guards against reads that wait until their deadline at a database that never responds.
  it('fails reads at an unresponsive replica as not run, long before their deadline', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.setFaults({ databases: { b: { paused: true } } })
      const reads = ['r1', 'r2'].map(async (sessionId) => await fixture.execute({ sql: buildSelect('x'), access: 'read', database: 'b', sessionId, deadlineMs: 60_000 }))
      for (const read of reads) await assert.rejects(read, { kind: 'unavailable' })
    })
  })

  it('completes open transactions in a shutdown and refuses new work as not run', async () => {
    await runWithFixture(async (fixture) => {
      await fixture.execute({ sql: 'BEGIN', transaction: 'begin' })
      const closing = (fixture.pools[0] as PoolProcess).close()
      await assert.rejects(fixture.execute({ sql: buildInsert('c1'), sessionId: 's2' }), { kind: 'shutting-down' })
      await fixture.execute({ sql: buildInsert('c2'), transaction: 'continue' })
      assert.ok((await fixture.execute({ sql: 'COMMIT', transaction: 'continue' })).position !== null)
      await closing
    })
  })
})
