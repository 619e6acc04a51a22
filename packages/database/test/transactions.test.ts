import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import type pg from 'pg'
import { TestGroup } from './fixtures/test-group.js'
import { waitUntil } from './fixtures/wait-until.js'

let group: TestGroup
let first: pg.Client
let second: pg.Client
let third: pg.Client

async function readQuantity (client: pg.Client, id: string): Promise<number> {
  return Number((await client.query('SELECT quantity FROM stock WHERE id = $1', [id])).rows[0]?.quantity)
}

describe('transactions', () => {
  before(async () => {
    group = await TestGroup.open()
    ;[first, second, third] = await Promise.all([1, 2, 3].map(() => group.connect('a'))) as [pg.Client, pg.Client, pg.Client]
    await first.query("INSERT INTO stock (id, quantity) VALUES ('x', 10), ('y', 10)")
  })
  after(async () => { await group.close() })

  // Guards against dirty reads and against writes that survive a rollback.
  it('makes writes visible at commit, and none after a rollback', async () => {
    await first.query('BEGIN')
    await first.query("UPDATE stock SET quantity = quantity - 1 WHERE id = 'x'")
    await first.query("INSERT INTO stock (id) VALUES ('new')")
    await first.query("DELETE FROM stock WHERE id = 'y'")
    assert.equal(await readQuantity(first, 'x'), 9)
    assert.equal((await first.query('SELECT count(*) FROM stock')).rows[0].count, '2')
    assert.equal((await second.query('SELECT count(*) FROM stock')).rows[0].count, '2')
    assert.equal(await readQuantity(second, 'x'), 10)
    await first.query('ROLLBACK')
    assert.deepEqual((await first.query('SELECT id, quantity FROM stock ORDER BY id')).rows, [{ id: 'x', quantity: '10' }, { id: 'y', quantity: '10' }])
  })

  // Guards against a lost update: the second writer of a row must not overwrite a change that it has not read.
  it('fails with 40001 when a concurrent transaction has changed the row', async () => {
    await first.query('BEGIN')
    await second.query('BEGIN')
    await first.query("UPDATE stock SET quantity = quantity - 1 WHERE id = 'x'")
    const waiting = assert.rejects(second.query("UPDATE stock SET quantity = quantity - 1 WHERE id = 'x'"), { code: '40001' })
    await first.query('COMMIT')
    await waiting
    await assert.rejects(second.query('SELECT 1'), { code: '25P02' })
    assert.equal((await second.query('COMMIT')).command, 'ROLLBACK')
    assert.equal(await readQuantity(third, 'x'), 9)
  })

  it('applies a statement without a transaction block to the row that a concurrent transaction committed', async () => {
    await first.query('BEGIN')
    await first.query("UPDATE stock SET quantity = quantity - 1 WHERE id = 'x'")
    const waiting = second.query("UPDATE stock SET quantity = quantity - 1 WHERE id = 'x' RETURNING quantity")
    await first.query('COMMIT')
    assert.equal((await waiting).rows[0].quantity, '7')
  })

  // Guards against two requests with one idempotency key that both insert its record.
  it('makes the second insert of a key wait: 23505 after a commit, success after a rollback', async () => {
    for (const [end, code] of [['COMMIT', '23505'], ['ROLLBACK', undefined]] as const) {
      const text = `INSERT INTO tanagerusher_request (idempotency_key, digest) VALUES ('${end}', 'd')`
      await first.query('BEGIN')
      await first.query(text)
      const waiting = second.query(text).then(() => undefined, (error: { code: string }) => error.code)
      await first.query(end)
      assert.equal(await waiting, code)
    }
    assert.equal((await second.query("INSERT INTO tanagerusher_request (idempotency_key) VALUES ('COMMIT') ON CONFLICT DO NOTHING")).rowCount, 0)
  })

  it('detects a deadlock', async () => {
    await first.query('BEGIN')
    await second.query('BEGIN')
    await first.query("UPDATE stock SET quantity = 1 WHERE id = 'x'")
    await second.query("UPDATE stock SET quantity = 1 WHERE id = 'y'")
    const waiting = first.query("UPDATE stock SET quantity = 1 WHERE id = 'y'")
    await assert.rejects(second.query("UPDATE stock SET quantity = 1 WHERE id = 'x'"), { code: '40P01' })
    await second.query('ROLLBACK')
    await waiting
    await first.query('ROLLBACK')
  })

  // Guards against a write in a read-only upstream session, and against settings that remain for the next caller.
  it('rejects writes in read-only transactions and sessions until DISCARD ALL', async () => {
    await first.query('BEGIN READ ONLY')
    await assert.rejects(first.query("DELETE FROM stock WHERE id = 'x'"), { code: '25006' })
    await first.query('ROLLBACK')
    await first.query('SET default_transaction_read_only = on')
    await assert.rejects(first.query("DELETE FROM stock WHERE id = 'x'"), { code: '25006' })
    await first.query("BEGIN READ WRITE; UPDATE stock SET quantity = 3 WHERE id = 'x'; COMMIT")
    assert.equal((await first.query('SHOW transaction_read_only')).rows[0].transaction_read_only, 'on')
    await first.query('DISCARD ALL')
    await first.query("UPDATE stock SET quantity = 3 WHERE id = 'x'")
  })

  // Guards against a text of several statements that takes effect in part.
  it('runs a text of several statements as one transaction', async () => {
    await assert.rejects(first.query("INSERT INTO stock (id) VALUES ('half'); INSERT INTO stock (id) VALUES ('x')"), { code: '23505' })
    assert.equal((await first.query("SELECT id FROM stock WHERE id = 'half'")).rowCount, 0)
    await first.query("BEGIN; INSERT INTO stock (id) VALUES ('begun')")
    await first.query("INSERT INTO stock (id) VALUES ('more'); COMMIT")
    assert.equal((await second.query("SELECT id FROM stock WHERE id IN ('begun', 'more')")).rowCount, 2)
  })

  // Guards against a slot that is not released when its client disconnects or when its transaction ends.
  it('makes statements wait for a free slot, and lets an open transaction hold its slot', async () => {
    const holders = await Promise.all([1, 2, 3].map(() => group.connect('a')))
    for (const holder of holders) {
      await holder.query('BEGIN')
      await holder.query('SELECT 1')
    }
    let hasRun = false
    const waiting = first.query('SELECT 1').then(() => { hasRun = true })
    await second.query('SELECT * FROM platform_status()')
    assert.equal(hasRun, false)
    await holders[0]?.end()
    await waiting
    for (const holder of holders.slice(1)) await holder.query('COMMIT')
    await Promise.all([first, second, third].map((client) => client.query('SELECT pg_sleep(0.001)')))
  })

  // Guards against a cancel request that cancels another statement or does not release the slot.
  it('cancels a running or waiting statement, and only with the correct secret', async () => {
    const { processID, secretKey } = first as unknown as { processID: number, secretKey: number }
    const cancelled = assert.rejects(first.query('SELECT pg_sleep(86400)'), { code: '57014' })
    await sendCancel(processID, secretKey ^ 1)
    await sendCancel(processID, secretKey)
    await cancelled
    await first.query('SELECT 1')
    await second.query('BEGIN')
    await second.query("UPDATE stock SET quantity = 1 WHERE id = 'x'")
    const blocked = assert.rejects(first.query("DELETE FROM stock WHERE id = 'x'"), { code: '57014' })
    await waitUntil(async () => {
      await sendCancel(processID, secretKey)
      return await Promise.race([blocked.then(() => true), new Promise<boolean>((resolve) => { setImmediate(() => { resolve(false) }) })])
    })
    await second.query('ROLLBACK')
  })
})

async function sendCancel (processId: number, secret: number): Promise<void> {
  const { connect } = await import('node:net')
  const packet = Buffer.alloc(16)
  packet.writeInt32BE(16)
  packet.writeInt32BE(80877102, 4)
  packet.writeInt32BE(processId, 8)
  packet.writeInt32BE(secret, 12)
  const socket = connect(group.findPort('a'), '127.0.0.1', () => { socket.write(packet) })
  await new Promise((resolve) => { socket.once('close', resolve).resume() })
}
