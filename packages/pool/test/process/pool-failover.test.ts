import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { PoolProcess } from '../../src/process/pool-process.js'
import { readValues } from '../fixtures/read-values.js'
import { Scene } from '../fixtures/scene.js'

const insert = (id: string): string => `INSERT INTO payment (id, organisation, stallholder, amount) VALUES ('${id}', 'o1', 's', 5)`
const find = (id: string): string => `SELECT id FROM payment WHERE id = '${id}'`

async function run (test: (scene: Scene) => Promise<void>, options: Parameters<typeof Scene.start>[0] = {}): Promise<void> {
  const scene = await Scene.start(options)
  try {
    await test(scene)
  } finally {
    await scene.close()
  }
}

describe('failover of the pool process', () => {
  it('promotes a replica when the primary crashes, keeps acknowledged writes, and takes the old primary back', async () => {
    await run(async (scene) => {
      await scene.execute({ sql: insert('f1') })
      await scene.setFaults({ databases: { a: { crashed: true } } })
      await scene.waitUntil(() => scene.primary != null && scene.primary !== 'a')
      assert.equal(readValues((await scene.execute({ sql: find('f1') })).frames).rows.length, 1)
      const { position } = await scene.execute({ sql: insert('f2') })
      await scene.setFaults({})
      await scene.waitUntil(() => scene.statuses.at(-1)?.members.find(({ database }) => database === 'a')?.log.term === position?.term)
      const read = await scene.execute({ sql: find('f2'), access: 'read', database: 'a', floor: position })
      assert.equal(readValues(read.frames).rows.length, 1)
    }, { pools: 3 })
  })

  // Guards against an answer of an old primary that is passed on although no majority holds the write.
  it('reports an unknown outcome for a write that the old primary executed alone, and its data is gone', async () => {
    await run(async (scene) => {
      await scene.setFaults({ partitions: [{ from: 'a', to: '*' }, { from: '*', to: 'a' }] })
      await assert.rejects(scene.execute({ sql: insert('o1'), database: 'a', deadlineMs: 8000 }), { kind: 'outcome-unknown' })
      await scene.waitUntil(() => scene.primary != null && scene.primary !== 'a')
      assert.equal(readValues((await scene.execute({ sql: find('o1') })).frames).rows.length, 0)
    })
  })

  it('promotes nobody and refuses writes as not run when only one database is left', async () => {
    await run(async (scene) => {
      await scene.setFaults({ databases: { b: { crashed: true }, c: { crashed: true } } })
      await scene.waitUntil(() => scene.statuses.at(-1)?.members.filter(({ reachable }) => reachable).length === 1)
      await assert.rejects(scene.execute({ sql: insert('n1'), database: 'a' }), { kind: 'unavailable' })
      assert.equal(scene.statuses.at(-1)?.term, 1)
    })
  })

  it('does not replace a primary that is only slow', async () => {
    await run(async (scene) => {
      await scene.setFaults({ databases: { a: { extraServiceMs: 1500 } } })
      await scene.execute({ sql: insert('s1') })
      assert.equal(scene.primary, 'a')
      assert.equal(scene.statuses.at(-1)?.term, 1)
    })
  })

  it('hands over when the primary is leaving: no transaction is lost and later work goes to the new primary', async () => {
    await run(async (scene) => {
      await scene.execute({ sql: 'BEGIN', transaction: 'begin' })
      await scene.execute({ sql: insert('h1'), transaction: 'continue' })
      const databases = scene.group.databases.map((database) => ({ ...database, leaving: database.name === 'a' }))
      scene.control.updateGroup({ ...scene.group, databases })
      const waiting = scene.execute({ sql: insert('h2'), sessionId: 's2', database: 'a' }).then(() => 'done', (error) => error.kind)
      assert.ok((await scene.execute({ sql: 'COMMIT', transaction: 'continue', database: 'a' })).position !== null)
      await scene.waitUntil(() => scene.primary != null && scene.primary !== 'a')
      assert.ok(['done', 'unavailable'].includes(await waiting))
      assert.equal(readValues((await scene.execute({ sql: find('h1') })).frames).rows.length, 1)
      await assert.rejects(scene.execute({ sql: find('h1'), access: 'read', database: 'a' }), { kind: 'unavailable' })
    })
  })

  it('hands over to the primary that an operator wants', async () => {
    await run(async (scene) => {
      await scene.execute({ sql: insert('w1') })
      scene.control.updateGroup({ ...scene.group, wantedPrimary: 'c' })
      await scene.waitUntil(() => scene.primary === 'c')
      assert.equal(readValues((await scene.execute({ sql: find('w1') })).frames).rows.length, 1)
    })
  })

  // Guards against a transaction that reads at a primary which was cut off and does not know of its successor.
  it('begins no transaction and answers no locking read without a majority when the session has no floor', async () => {
    await run(async (scene) => {
      await scene.execute({ sql: insert('r1') })
      await scene.setFaults({ databases: { b: { paused: true }, c: { paused: true } } })
      await assert.rejects(scene.execute({ sql: 'BEGIN', transaction: 'begin', database: 'a', deadlineMs: 1500 }), { kind: 'unavailable' })
      await assert.rejects(scene.execute({ sql: `${find('r1')} FOR UPDATE`, database: 'a', deadlineMs: 1500 }))
    })
  })

  // Guards against requests that wait for connections which a leaving database has closed for good.
  it('serves at a leaving database that becomes the primary because the others are lost', async () => {
    await run(async (scene) => {
      const databases = scene.group.databases.map((database) => ({ ...database, leaving: database.name !== 'a' }))
      scene.control.updateGroup({ ...scene.group, databases })
      await assert.rejects(scene.execute({ sql: find('x'), access: 'read', database: 'b' }), { kind: 'unavailable' })
      await scene.setFaults({ databases: { a: { crashed: true } } })
      await scene.waitUntil(() => scene.primary != null && scene.primary !== 'a')
      assert.ok((await scene.execute({ sql: insert('g1') })).position !== null)
    })
  })

  // Guards against stale reads: the pool, not the entry, decides whether its replica holds the floor.
  it('waits briefly for a replica that lags and then refuses the read as not run', async () => {
    await run(async (scene) => {
      await scene.setFaults({ lags: [{ from: '*', to: 'c', ms: 60_000 }] })
      const { position } = await scene.execute({ sql: insert('r1') })
      await assert.rejects(scene.execute({ sql: find('r1'), access: 'read', database: 'c', floor: position }), { kind: 'unavailable' })
      const read = await scene.execute({ sql: find('r1'), access: 'read', database: 'b', floor: position })
      assert.equal(readValues(read.frames).rows.length, 1)
    })
  })

  // Guards against reads that hold out until their deadline at a database which never answers again.
  it('ends reads at a replica that fell silent as not run, long before their deadline', async () => {
    await run(async (scene) => {
      await scene.setFaults({ databases: { b: { paused: true } } })
      const reads = ['r1', 'r2'].map(async (sessionId) => await scene.execute({ sql: find('x'), access: 'read', database: 'b', sessionId, deadlineMs: 60_000 }))
      for (const read of reads) await assert.rejects(read, { kind: 'unavailable' })
    })
  })

  it('finishes what is under way in a shutdown and refuses new work as not run', async () => {
    await run(async (scene) => {
      await scene.execute({ sql: 'BEGIN', transaction: 'begin' })
      const closing = (scene.pools[0] as PoolProcess).close()
      await assert.rejects(scene.execute({ sql: insert('c1'), sessionId: 's2' }), { kind: 'shutting-down' })
      await scene.execute({ sql: insert('c2'), transaction: 'continue' })
      assert.ok((await scene.execute({ sql: 'COMMIT', transaction: 'continue' })).position !== null)
      await closing
    })
  })
})
