import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import type pg from 'pg'
import { TestGroup } from './fixtures/test-group.js'
import { waitUntil } from './fixtures/wait-until.js'

let group: TestGroup

async function insert (client: pg.Client, id: string): Promise<void> {
  await client.query('INSERT INTO payment (id, amount) VALUES ($1, 1)', [id])
}

async function countPayments (client: pg.Client, id: string): Promise<number> {
  return (await client.query('SELECT id FROM payment WHERE id = $1', [id])).rows.length
}

/** Resolves with the error of a rejected promise, so that the rejection is never unhandled. */
async function catchError (promise: Promise<unknown>): Promise<Error | undefined> {
  return await promise.then(() => undefined, (error: Error) => error)
}

describe('faults of a database', () => {
  before(async () => { group = await TestGroup.open() })
  after(async () => { await group.close() })

  // Guards against a proxy that assumes after a closed connection that the commit did not take effect.
  it('drops the responses of implicit and explicit commits that took effect', async () => {
    const [first, second, reader] = await Promise.all([1, 2, 3].map(() => group.connect('a'))) as [pg.Client, pg.Client, pg.Client]
    await group.setFaults({ databases: { a: { dropCommitAnswers: 2 } } })
    assert.ok(await catchError(insert(first, 'lost1')))
    await second.query('BEGIN')
    await insert(second, 'lost2')
    assert.ok(await catchError(second.query('COMMIT')))
    assert.deepEqual([await countPayments(reader, 'lost1'), await countPayments(reader, 'lost2')], [1, 1])
    await insert(reader, 'answered')
  })

  // Guards against a crash that loses acknowledged state or keeps uncommitted changes.
  it('keeps log and promised term over a crash and restart, and drops open transactions', async () => {
    const client = await group.connect('a')
    const closed = new Promise((resolve) => { client.once('end', resolve) })
    await insert(client, 'durable')
    await client.query('BEGIN')
    await insert(client, 'open')
    const before = await group.readStatus('a')
    await group.setFaults({ databases: { a: { crashed: true } } })
    await closed
    await assert.rejects(group.connect('a'), { code: 'ECONNREFUSED' })
    await group.setFaults({})
    const again = await group.connect('a')
    assert.deepEqual([await countPayments(again, 'durable'), await countPayments(again, 'open')], [1, 0])
    const restarted = await group.readStatus('a')
    assert.deepEqual(restarted.log, before.log)
    assert.equal(restarted.role, 'primary')
    await insert(again, 'open')
    const { position } = (await group.readStatus('a')).log
    await waitUntil(async () => (await group.readStatus('b')).log.position === position)
  })

  // Guards against a statement that takes effect after the crash that ended it.
  it('does not apply a statement that a pause and then a crash interrupted before it took effect', async () => {
    const client = await group.connect('a')
    await group.setFaults({ databases: { a: { extraServiceMs: 1, paused: true } } })
    const outcome = catchError(insert(client, 'interrupted'))
    await group.setFaults({ databases: { a: { crashed: true } } })
    assert.ok(await outcome)
    await group.setFaults({})
    assert.equal(await countPayments(await group.connect('a'), 'interrupted'), 0)
  })

  // Guards against a proxy that waits forever, or that times out on a statement which takes effect later.
  it('sends no response while paused and continues afterwards', async () => {
    const client = await group.connect('a')
    await group.setFaults({ databases: { a: { paused: true } } })
    let isDone = false
    const inserting = insert(client, 'paused').then(() => { isDone = true })
    const { position } = (await group.readStatus('a')).log
    const other = await group.connect('b')
    await other.query('SELECT 1')
    assert.equal(isDone, false)
    assert.equal((await group.readStatus('a')).log.position, position)
    await group.setFaults({})
    await inserting
  })

  it('blocks clients by address and direction', async () => {
    const local = await group.connect('a')
    const remote = await group.connect('a', { host: '127.0.0.1' })
    const before = (await group.readStatus('a')).log.position
    await group.setFaults({ clients: [{ database: 'a', address: '127.0.0.', direction: 'answers' }] })
    let isDone = false
    const inserting = insert(remote, 'unanswered').then(() => { isDone = true })
    await waitUntil(async () => (await group.readStatus('a')).log.position > before)
    assert.equal(isDone, false)
    await group.setFaults({ clients: [{ address: '10.' }] })
    await inserting
    assert.equal(await countPayments(local, 'unanswered'), 1)
  })

  it('rejects invalid faults and keeps the current ones', async () => {
    await group.setFaults({ lags: [{ from: 'a', to: 'b', ms: 5 }] })
    const url = `http://127.0.0.1:${group.service.controlPort}/faults`
    for (const body of ['{"lag": 1}', '{"databases": {"x": {"paused": true}}}', '{"partitions": [{"from": "a", "to": "x"}]}']) {
      const response = await fetch(url, { method: 'PUT', headers: { 'content-type': 'application/json' }, body })
      assert.equal(response.status, 400)
    }
    assert.equal((await (await fetch(url)).json() as { lags: unknown[] }).lags.length, 1)
    await group.setFaults({})
  })
})

describe('data directory', () => {
  // Guards against a promised term or an entry that is lost when the process ends, and against an incomplete last record.
  it('restores the log, truncations and promised terms when the process restarts', async () => {
    const dataDirectory = mkdtempSync(join(tmpdir(), 'tanagerusher-database-'))
    const first = await TestGroup.open({ dataDirectory })
    const a = await first.connect('a')
    await insert(a, 'p1')
    await first.setFaults({ partitions: [{ from: 'a', to: '*' }] })
    await insert(a, 'lost')
    const b = await first.connect('b')
    await b.query('SELECT * FROM platform_raise_term(2)')
    await b.query('SELECT * FROM platform_promote(2)')
    await first.setFaults({})
    await a.query("SELECT * FROM platform_follow(2, 'b')")
    await waitUntil(async () => (await first.readStatus('a')).log.term === 2)
    const statuses = await Promise.all(['a', 'b', 'c'].map((name) => first.readStatus(name)))
    await first.close()
    const journal = join(dataDirectory, 'a.journal')
    writeFileSync(journal, Buffer.concat([readFileSync(journal), Buffer.from([0, 0, 1, 0, 7])]))
    const second = await TestGroup.open({ dataDirectory })
    const restored = await Promise.all(['a', 'b', 'c'].map((name) => second.readStatus(name)))
    assert.deepEqual(restored.map(({ role, promisedTerm, log }) => ({ role, promisedTerm, log })), statuses.map(({ role, promisedTerm, log }) => ({ role, promisedTerm, log })))
    const again = await second.connect('a')
    assert.deepEqual([await countPayments(again, 'p1'), await countPayments(again, 'lost')], [1, 0])
    await second.close()
    rmSync(dataDirectory, { recursive: true })
  })
})
