import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { cancel } from '@tanagerusher/protocol/peer/cancel'
import { executeChunk } from '@tanagerusher/protocol/peer/execute-chunk'
import { executeCredit } from '@tanagerusher/protocol/peer/execute-credit'
import { probeFloor } from '@tanagerusher/protocol/peer/probe-floor'
import type { PoolProcess } from '../../src/process/pool-process.js'
import { readValues } from '../fixtures/read-values.js'
import { PoolFixture } from '../fixtures/pool-fixture.js'

const buildInsert = (id: string): string => `INSERT INTO payment (id, organisation, stallholder, amount) VALUES ('${id}', 'o1', 's', 5)`
const buildSelect = (id: string): string => `SELECT id FROM payment WHERE id = '${id}'`
const continued = { transaction: 'continue' } as const

describe('PoolProcess', () => {
  let fixture: PoolFixture
  before(async () => { fixture = await PoolFixture.start({ slots: 1 }) })
  after(async () => { await fixture.close() })

  it('acknowledges a write with its position, and a read at a replica with this position as floor returns the row', async () => {
    const written = await fixture.execute({ sql: buildInsert('w1') })
    assert.ok(written.position !== null)
    const read = await fixture.execute({ sql: buildSelect('w1'), access: 'read', database: 'b', floor: written.position })
    assert.deepEqual(readValues(read.frames).rows, [{ id: 'w1' }])
    assert.ok(read.position !== null && read.position.position >= written.position.position)
    const probed = await fixture.entry.request(probeFloor, { group: 'ledger', deadlineMs: 1000 }, 2000)
    assert.ok(probed.position.position >= written.position.position)
  })

  // Guards against executing a write at a replica, or executing it twice, when the entry classified it as a read.
  it('refuses a write that is classified as a read at a replica, and runs it once, as a write, at the primary', async () => {
    const work = { sql: buildInsert('w2'), access: 'read' } as const
    await assert.rejects(fixture.execute({ ...work, database: 'b' }), { kind: 'unavailable', details: { group: 'ledger', database: 'b', reason: 'read-only' } })
    assert.deepEqual(readValues((await fixture.execute({ sql: buildSelect('w2') })).frames).rows, [])
    const written = await fixture.execute({ ...work, database: 'a', idempotencyKey: 'w2' })
    assert.ok(written.position !== null)
    await fixture.execute({ ...work, database: 'a', idempotencyKey: 'w2' })
    assert.equal(readValues((await fixture.execute({ sql: buildSelect('w2') })).frames).rows.length, 1)
  })

  it('keeps a transaction on its connection, also after an error, and reports the position at its end', async () => {
    assert.equal((await fixture.execute({ sql: 'BEGIN', transaction: 'begin' })).transactionStatus, 'T')
    assert.equal((await fixture.execute({ sql: 'SELECT nonsense', ...continued })).transactionStatus, 'E')
    assert.equal(readValues((await fixture.execute({ sql: buildInsert('t1'), ...continued })).frames).error?.code, '25P02')
    assert.equal((await fixture.execute({ sql: 'ROLLBACK', ...continued })).transactionStatus, 'I')
    await fixture.execute({ sql: 'BEGIN', transaction: 'begin' })
    assert.equal((await fixture.execute({ sql: buildInsert('t2'), ...continued })).position, null)
    assert.ok((await fixture.execute({ sql: 'COMMIT', ...continued })).position !== null)
    await assert.rejects(fixture.execute({ sql: 'SELECT 1', ...continued }), { kind: 'transaction-lost' })
    assert.equal(readValues((await fixture.execute({ sql: buildSelect('t2') })).frames).rows.length, 1)
  })

  // Guards against a slot that stays taken, and a transaction that stays open, after the connection to the entry closed.
  it('rolls back and releases the slot when the connection to the entry closes inside a transaction', async () => {
    const other = await PoolFixture.connect(fixture.pools[0] as PoolProcess)
    await fixture.execute({ sql: 'BEGIN', transaction: 'begin', sessionId: 's9' }, other)
    await fixture.execute({ sql: buildInsert('d1'), ...continued, sessionId: 's9' }, other)
    const waiting = fixture.execute({ sql: buildSelect('d1') })
    other.destroy()
    assert.deepEqual(readValues((await waiting).frames).rows, [])
  })

  // Guards against a graceful shutdown of the host that waits for its full time limit, because a pool that does not report
  // counts as busy, and against one that ends while a transaction is open.
  it('reports an open transaction to control as remaining work, and no remaining work after its end', async () => {
    await fixture.execute({ sql: 'BEGIN', transaction: 'begin' })
    const begun = fixture.control.reports.length
    await fixture.waitUntil(() => fixture.control.reports.slice(begun).some(({ role, remaining }) => role === 'pool' && remaining === 1))
    await fixture.execute({ sql: 'COMMIT', ...continued })
    const ended = fixture.control.reports.length
    await fixture.waitUntil(() => fixture.control.reports.slice(ended).some(({ remaining }) => remaining === 0))
  })

  it('rolls an idle transaction back after its idle timeout', async () => {
    const entry = { owner: null, group: 'ledger', class: 'interactive', repeatable: false, readsOnReplicas: true, statementDeadlineMs: 1000, idleTransactionTimeoutMs: 50, maximumQueued: 10 } as const
    await fixture.execute({ sql: 'BEGIN', transaction: 'begin', entry })
    await fixture.execute({ sql: 'SELECT 1', sessionId: 's2' })
    await assert.rejects(fixture.execute({ sql: 'COMMIT', ...continued }), { kind: 'transaction-lost' })
  })

  // Guards against a setting of one session that applies to the next session on the same connection.
  it('resets the settings of a session before another session uses its connection', async () => {
    await fixture.execute({ sql: "SET application_name = 'left behind'" })
    for (let round = 0; round < 3; round++) {
      const shown = await fixture.execute({ sql: 'SHOW application_name', sessionId: 's2' })
      assert.ok(!JSON.stringify(readValues(shown.frames).rows).includes('left behind'))
    }
  })

  // Guards against an unknown outcome after the caller deallocated the prepared status query of the pool.
  it('reports the position after work that discards all prepared statements', async () => {
    for (const sql of ['DISCARD ALL', buildInsert('x1'), 'DEALLOCATE ALL', buildInsert('x2')]) assert.ok((await fixture.execute({ sql })).position !== null)
  })

  it('cancels a queued and a running request once, and does not cancel later requests', async () => {
    await fixture.setFaults({ databases: { a: { extraServiceMs: 3000 } } })
    const running = fixture.execute({ sql: buildSelect('w1'), requestId: 'slow' })
    const waiting = fixture.execute({ sql: buildSelect('w1'), requestId: 'queued' })
    await fixture.waitUntil(() => (fixture.statuses.at(-1)?.members.find(({ database }) => database === 'a')?.load ?? 0) >= 2)
    const cancelled = await Promise.all(['queued', 'slow', 'slow'].map(async (requestId) => await fixture.entry.request(cancel, { requestId }, 2000)))
    assert.deepEqual(cancelled.map((response) => response.cancelled), [true, true, true])
    for (const request of [running, waiting]) assert.equal(readValues((await request).frames).error?.code, '57014')
    await fixture.setFaults({})
    assert.equal(readValues((await fixture.execute({ sql: buildSelect('w1') })).frames).rows.length, 1)
    assert.equal((await fixture.entry.request(cancel, { requestId: 'slow' }, 2000)).cancelled, false)
  })

  // Guards against the late response to a request that timed out being returned for the next request.
  it('returns to every request its own response after another request timed out', async () => {
    await fixture.setFaults({ databases: { a: { extraServiceMs: 1500 } } })
    const late = fixture.execute({ sql: "SELECT 'late' AS word", deadlineMs: 100 }).then(({ frames }) => readValues(frames).error?.code, (error) => error.kind)
    const word = await late
    assert.ok(['57014', 'outcome-unknown'].includes(word), word)
    await fixture.setFaults({})
    const next = await Promise.all(['x', 'y', 'z'].map(async (value) => await fixture.execute({ sql: `SELECT '${value}' AS word` })))
    assert.deepEqual(next.map(({ frames }) => readValues(frames).rows[0]?.word), ['x', 'y', 'z'])
  })

  it('refuses a request as not run when its deadline passes in the queue', async () => {
    await fixture.execute({ sql: 'BEGIN', transaction: 'begin' })
    await assert.rejects(fixture.execute({ sql: buildInsert('q1'), sessionId: 's2', deadlineMs: 60 }), { kind: 'overloaded' })
    await fixture.execute({ sql: 'ROLLBACK', ...continued })
    assert.deepEqual(readValues((await fixture.execute({ sql: buildSelect('q1') })).frames).rows, [])
  })

  it('runs work with an idempotency key once, repeats its first response, and refuses other work with the same key', async () => {
    // Makes the session of the only connection read-only. The transaction that inserts the record must still be able to write.
    await fixture.execute({ sql: buildSelect('k1'), access: 'read' })
    const first = await fixture.execute({ sql: buildInsert('k1'), idempotencyKey: 'k1' })
    const again = await fixture.execute({ sql: buildInsert('k1'), idempotencyKey: 'k1' })
    assert.deepEqual(Buffer.from(again.frames), Buffer.from(first.frames))
    await assert.rejects(fixture.execute({ sql: buildInsert('k2'), idempotencyKey: 'k1' }), { kind: 'idempotency-conflict' })
    await fixture.execute({ sql: 'BEGIN', transaction: 'begin', idempotencyKey: 'k3' })
    await fixture.execute({ sql: buildInsert('k3'), ...continued })
    await fixture.execute({ sql: 'COMMIT', ...continued })
    await assert.rejects(fixture.execute({ sql: 'BEGIN', transaction: 'begin', idempotencyKey: 'k3' }), { kind: 'transaction-already-run' })
  })

  // Guards against executing a payment twice when a caller sends it concurrently over several connections.
  it('runs concurrent requests with the same idempotency key once and returns the same response to all', async () => {
    const wide = await PoolFixture.start({ slots: 4 })
    try {
      const sql = buildInsert('m1')
      const repeats = await Promise.all([1, 2, 3, 4].map(async (number) => await wide.execute({ sql, idempotencyKey: 'm1', sessionId: `m${number}` })))
      for (const { frames } of repeats) assert.deepEqual(Buffer.from(frames), Buffer.from(repeats[0]?.frames ?? []))
      assert.equal(readValues((await wide.execute({ sql: buildSelect('m1') })).frames).rows.length, 1)
    } finally {
      await wide.close()
    }
  })

  // Guards against executing a payment twice because the response to its commit was lost.
  it('finds work by its idempotency key when the response to its commit was lost', async () => {
    await fixture.setFaults({ databases: { a: { dropCommitAnswers: 1 } } })
    await assert.rejects(fixture.execute({ sql: buildInsert('l1'), idempotencyKey: 'l1' }), { kind: 'outcome-unknown' })
    const again = await fixture.execute({ sql: buildInsert('l1'), idempotencyKey: 'l1' })
    assert.equal(readValues(again.frames).error, undefined)
    assert.equal(readValues((await fixture.execute({ sql: buildSelect('l1') })).frames).rows.length, 1)
  })

  // Guards against chunks that are assigned to the response of another request, and against sending more than the credit allows.
  it('sends large responses to several requests in chunks, each in order and within its window', async () => {
    for (let id = 0; id < 120; id++) await fixture.execute({ sql: `INSERT INTO pitch_log (id, organisation, pitch, note) VALUES ('p${id}', 'o1', 'p', '${'x'.repeat(2000)}')` })
    const chunks = new Map<string, Buffer[]>()
    fixture.entry.addNotification(executeChunk, ({ requestId, sequence, frames }) => {
      const received = chunks.get(requestId) ?? []
      chunks.set(requestId, received)
      assert.equal(sequence, received.length)
      received.push(Buffer.from(frames))
      fixture.entry.notify(executeCredit, { requestId, bytes: frames.length })
    })
    const results = await Promise.all(['b', 'c', 'b'].map(async (database, index) => {
      const sql = `SELECT '${index}' AS marker, note FROM pitch_log`
      const result = await fixture.execute({ sql, access: 'read', database, requestId: `big${index}`, windowBytes: 40_000 })
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
