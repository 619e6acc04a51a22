import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { cancel } from '@tanagerusher/protocol/peer/cancel'
import { executeChunk } from '@tanagerusher/protocol/peer/execute-chunk'
import { executeCredit } from '@tanagerusher/protocol/peer/execute-credit'
import { probeFloor } from '@tanagerusher/protocol/peer/probe-floor'
import type { PoolProcess } from '../../src/process/pool-process.js'
import { readValues } from '../fixtures/read-values.js'
import { Scene } from '../fixtures/scene.js'

const insert = (id: string): string => `INSERT INTO payment (id, organisation, stallholder, amount) VALUES ('${id}', 'o1', 's', 5)`
const find = (id: string): string => `SELECT id FROM payment WHERE id = '${id}'`
const continued = { transaction: 'continue' } as const

describe('PoolProcess', () => {
  let scene: Scene
  before(async () => { scene = await Scene.start({ slots: 1 }) })
  after(async () => { await scene.close() })

  it('acknowledges a write with its position, and a replica read with this floor sees it', async () => {
    const written = await scene.execute({ sql: insert('w1') })
    assert.ok(written.position !== null)
    const read = await scene.execute({ sql: find('w1'), access: 'read', database: 'b', floor: written.position })
    assert.deepEqual(readValues(read.frames).rows, [{ id: 'w1' }])
    assert.ok(read.position !== null && read.position.position >= written.position.position)
    const probed = await scene.entry.request(probeFloor, { group: 'ledger', deadlineMs: 1000 }, 2000)
    assert.ok(probed.position.position >= written.position.position)
  })

  // Guards against a write that a wrong classification sends to a replica.
  it('refuses a write among reads as not run at a replica, and runs it once, as a write, at the primary', async () => {
    const work = { sql: insert('w2'), access: 'read' } as const
    await assert.rejects(scene.execute({ ...work, database: 'b' }), { kind: 'unavailable', details: { group: 'ledger', database: 'b', reason: 'read-only' } })
    assert.deepEqual(readValues((await scene.execute({ sql: find('w2') })).frames).rows, [])
    const written = await scene.execute({ ...work, database: 'a', idempotencyKey: 'w2' })
    assert.ok(written.position !== null)
    await scene.execute({ ...work, database: 'a', idempotencyKey: 'w2' })
    assert.equal(readValues((await scene.execute({ sql: find('w2') })).frames).rows.length, 1)
  })

  it('keeps a transaction on its connection, through the error state, and reports the position at its end', async () => {
    assert.equal((await scene.execute({ sql: 'BEGIN', transaction: 'begin' })).transactionStatus, 'T')
    assert.equal((await scene.execute({ sql: 'SELECT nonsense', ...continued })).transactionStatus, 'E')
    assert.equal(readValues((await scene.execute({ sql: insert('t1'), ...continued })).frames).error?.code, '25P02')
    assert.equal((await scene.execute({ sql: 'ROLLBACK', ...continued })).transactionStatus, 'I')
    await scene.execute({ sql: 'BEGIN', transaction: 'begin' })
    assert.equal((await scene.execute({ sql: insert('t2'), ...continued })).position, null)
    assert.ok((await scene.execute({ sql: 'COMMIT', ...continued })).position !== null)
    await assert.rejects(scene.execute({ sql: 'SELECT 1', ...continued }), { kind: 'transaction-lost' })
    assert.equal(readValues((await scene.execute({ sql: find('t2') })).frames).rows.length, 1)
  })

  // Guards against a slot and a transaction that stay with an entry which is gone.
  it('rolls back and frees the slot when the entry dies inside a transaction', async () => {
    const other = await Scene.connect(scene.pools[0] as PoolProcess)
    await scene.execute({ sql: 'BEGIN', transaction: 'begin', sessionId: 's9' }, other)
    await scene.execute({ sql: insert('d1'), ...continued, sessionId: 's9' }, other)
    const waiting = scene.execute({ sql: find('d1') })
    other.destroy()
    assert.deepEqual(readValues((await waiting).frames).rows, [])
  })

  it('ends an idle transaction after its limit', async () => {
    const entry = { owner: null, group: 'ledger', class: 'interactive', repeatable: false, readsOnReplicas: true, statementDeadlineMs: 1000, idleTransactionTimeoutMs: 50, maximumQueued: 10 } as const
    await scene.execute({ sql: 'BEGIN', transaction: 'begin', entry })
    await scene.execute({ sql: 'SELECT 1', sessionId: 's2' })
    await assert.rejects(scene.execute({ sql: 'COMMIT', ...continued }), { kind: 'transaction-lost' })
  })

  // Guards against a setting of one session that the next one on the connection inherits.
  it('leaves no settings behind', async () => {
    await scene.execute({ sql: "SET application_name = 'left behind'" })
    for (let round = 0; round < 3; round++) {
      const shown = await scene.execute({ sql: 'SHOW application_name', sessionId: 's2' })
      assert.ok(!JSON.stringify(readValues(shown.frames).rows).includes('left behind'))
    }
  })

  // Guards against an unknown outcome because the caller removed the pool's own prepared status query.
  it('knows the position after work that discards all prepared statements', async () => {
    for (const sql of ['DISCARD ALL', insert('x1'), 'DEALLOCATE ALL', insert('x2')]) assert.ok((await scene.execute({ sql })).position !== null)
  })

  it('cancels a waiting and a running request once, and later requests run undisturbed', async () => {
    await scene.setFaults({ databases: { a: { extraServiceMs: 3000 } } })
    const running = scene.execute({ sql: find('w1'), requestId: 'slow' })
    const waiting = scene.execute({ sql: find('w1'), requestId: 'queued' })
    await scene.waitUntil(() => (scene.statuses.at(-1)?.members.find(({ database }) => database === 'a')?.load ?? 0) >= 2)
    const cancelled = await Promise.all(['queued', 'slow', 'slow'].map(async (requestId) => await scene.entry.request(cancel, { requestId }, 2000)))
    assert.deepEqual(cancelled.map((answer) => answer.cancelled), [true, true, true])
    for (const request of [running, waiting]) assert.equal(readValues((await request).frames).error?.code, '57014')
    await scene.setFaults({})
    assert.equal(readValues((await scene.execute({ sql: find('w1') })).frames).rows.length, 1)
    assert.equal((await scene.entry.request(cancel, { requestId: 'slow' }, 2000)).cancelled, false)
  })

  // Guards against the late answer of a request that timed out, taken for the answer of the next one.
  it('gives every request its own answer after another one timed out', async () => {
    await scene.setFaults({ databases: { a: { extraServiceMs: 1500 } } })
    const late = scene.execute({ sql: "SELECT 'late' AS word", deadlineMs: 100 }).then(({ frames }) => readValues(frames).error?.code, (error) => error.kind)
    const word = await late
    assert.ok(['57014', 'outcome-unknown'].includes(word), word)
    await scene.setFaults({})
    const next = await Promise.all(['x', 'y', 'z'].map(async (value) => await scene.execute({ sql: `SELECT '${value}' AS word` })))
    assert.deepEqual(next.map(({ frames }) => readValues(frames).rows[0]?.word), ['x', 'y', 'z'])
  })

  it('refuses a request whose deadline passes in the queue as not run', async () => {
    await scene.execute({ sql: 'BEGIN', transaction: 'begin' })
    await assert.rejects(scene.execute({ sql: insert('q1'), sessionId: 's2', deadlineMs: 60 }), { kind: 'overloaded' })
    await scene.execute({ sql: 'ROLLBACK', ...continued })
    assert.deepEqual(readValues((await scene.execute({ sql: find('q1') })).frames).rows, [])
  })

  it('runs work with a key once, repeats its first answer, and refuses other work under the key', async () => {
    // The only slot's connection is read-only after this; the record's transaction must not be.
    await scene.execute({ sql: find('k1'), access: 'read' })
    const first = await scene.execute({ sql: insert('k1'), idempotencyKey: 'k1' })
    const again = await scene.execute({ sql: insert('k1'), idempotencyKey: 'k1' })
    assert.deepEqual(Buffer.from(again.frames), Buffer.from(first.frames))
    await assert.rejects(scene.execute({ sql: insert('k2'), idempotencyKey: 'k1' }), { kind: 'idempotency-conflict' })
    await scene.execute({ sql: 'BEGIN', transaction: 'begin', idempotencyKey: 'k3' })
    await scene.execute({ sql: insert('k3'), ...continued })
    await scene.execute({ sql: 'COMMIT', ...continued })
    await assert.rejects(scene.execute({ sql: 'BEGIN', transaction: 'begin', idempotencyKey: 'k3' }), { kind: 'transaction-already-run' })
  })

  // Guards against a payment that a caller sends twice at the same time, over two connections.
  it('runs simultaneous repeats of work with a key once and gives all the same answer', async () => {
    const wide = await Scene.start({ slots: 4 })
    try {
      const sql = insert('m1')
      const repeats = await Promise.all([1, 2, 3, 4].map(async (number) => await wide.execute({ sql, idempotencyKey: 'm1', sessionId: `m${number}` })))
      for (const { frames } of repeats) assert.deepEqual(Buffer.from(frames), Buffer.from(repeats[0]?.frames ?? []))
      assert.equal(readValues((await wide.execute({ sql: find('m1') })).frames).rows.length, 1)
    } finally {
      await wide.close()
    }
  })

  // Guards against a payment that runs twice because the answer to its commit was lost.
  it('finds work whose commit answer was lost by its key', async () => {
    await scene.setFaults({ databases: { a: { dropCommitAnswers: 1 } } })
    await assert.rejects(scene.execute({ sql: insert('l1'), idempotencyKey: 'l1' }), { kind: 'outcome-unknown' })
    const again = await scene.execute({ sql: insert('l1'), idempotencyKey: 'l1' })
    assert.equal(readValues(again.frames).error, undefined)
    assert.equal(readValues((await scene.execute({ sql: find('l1') })).frames).rows.length, 1)
  })

  // Guards against chunks of one answer that end up in another one, and against an answer that outruns its credit.
  it('sends large answers of several requests in chunks, each in order and within its window', async () => {
    for (let id = 0; id < 120; id++) await scene.execute({ sql: `INSERT INTO pitch_log (id, organisation, pitch, note) VALUES ('p${id}', 'o1', 'p', '${'x'.repeat(2000)}')` })
    const chunks = new Map<string, Buffer[]>()
    scene.entry.addNotification(executeChunk, ({ requestId, sequence, frames }) => {
      const received = chunks.get(requestId) ?? []
      chunks.set(requestId, received)
      assert.equal(sequence, received.length)
      received.push(Buffer.from(frames))
      scene.entry.notify(executeCredit, { requestId, bytes: frames.length })
    })
    const results = await Promise.all(['b', 'c', 'b'].map(async (database, index) => {
      const sql = `SELECT '${index}' AS marker, note FROM pitch_log`
      const result = await scene.execute({ sql, access: 'read', database, requestId: `big${index}`, windowBytes: 40_000 })
      const received = chunks.get(`big${index}`) ?? []
      assert.equal(result.chunks, received.length)
      return { received: received.length, rows: readValues(Buffer.concat([...received, result.frames])).rows }
    }))
    for (const [index, { received, rows }] of results.entries()) {
      assert.ok(received > 3)
      assert.equal(rows.length, 120)
      assert.ok(rows.every(({ marker }) => marker === String(index)))
    }
  })
})
