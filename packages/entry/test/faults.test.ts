import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { RawCaller } from './fixtures/raw-caller.js'
import { TestFleet } from './fixtures/test-fleet.js'

let fleet: TestFleet

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setImmediate(resolve) })
}

describe('request outcomes', () => {
  afterEach(async () => { await fleet.close() })

  // Guards against a late response to a timed-out request that is delivered to the next request of the same caller.
  it('reports an unknown outcome after a time-out and discards the late response', async () => {
    fleet = await TestFleet.open({ entry: { statementDeadlineMs: 50 }, settings: { answerGraceMs: 50 } })
    const client = await fleet.connect()
    let finish = (): void => {}
    fleet.pool.handle = async (params, connection) => {
      await new Promise<void>((resolve) => { finish = resolve })
      fleet.pool.sendChunk(connection, params.requestId, 0, Buffer.from([0x49, 0, 0, 0, 4]))
      return { ...fleet.pool.buildResult(params, 'late'), chunks: 1 }
    }
    await assert.rejects(client.query('INSERT INTO fees VALUES (1)'), { code: '08007', hint: /^Outcome unknown/ })
    fleet.pool.handle = (params) => fleet.pool.buildResult(params, 'own')
    finish()
    assert.deepEqual((await client.query('INSERT INTO fees VALUES (2)')).rows, [{ value: 'own' }])
  })

  // Guards against a payment that runs twice because the entry retries it after the connection to the pool was lost.
  it('retries a request with an unknown outcome only when it is repeatable or has an idempotency key', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    let losses = 0
    fleet.pool.handle = (params, connection) => {
      if (losses-- <= 0) return fleet.pool.buildResult(params)
      connection.destroy()
      return fleet.pool.buildResult(params)
    }
    losses = 1
    await assert.rejects(client.query('INSERT INTO fees VALUES (1)'), { code: '08007' })
    assert.equal(fleet.pool.executed.length, 1)
    losses = 1
    await client.query("INSERT INTO fees VALUES (2) /*idempotency_key='pay-2'*/")
    assert.deepEqual(fleet.pool.executed.slice(1).map(({ idempotencyKey }) => idempotencyKey), ['pay-2', 'pay-2'])
    assert.equal(new Set(fleet.pool.executed.map(({ requestId }) => requestId)).size, 3)
  })

  it('retries a request that did not run until its deadline, then reports it as not run', async () => {
    fleet = await TestFleet.open({ entry: { statementDeadlineMs: 400 } })
    const client = await fleet.connect()
    let rejections = 3
    fleet.pool.handle = (params) => {
      if (rejections-- <= 0) return fleet.pool.buildResult(params)
      throw TanagerusherError.create('unavailable', { details: { group: 'g1', reason: 'not the primary' } })
    }
    await client.query('INSERT INTO fees VALUES (1)')
    assert.equal(fleet.pool.executed.length, 4)
    rejections = Number.POSITIVE_INFINITY
    await assert.rejects(client.query('INSERT INTO fees VALUES (2)'), { code: '57P03', hint: /^Not run/ })
  })

  it('does not retry a request that the pool rejected because its queue is full', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    fleet.pool.handle = () => { throw TanagerusherError.create('overloaded', { details: { reason: 'queue is full' } }) }
    await assert.rejects(client.query('INSERT INTO fees VALUES (1)'), { code: '53300' })
    assert.equal(fleet.pool.executed.length, 1)
  })
})

describe('transactions', () => {
  afterEach(async () => { await fleet.close() })

  it('sends all requests of a transaction to one pool connection, marked as begin, continue or none', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    for (const text of ['BEGIN', 'INSERT INTO fees VALUES (1)', 'SELECT 1', 'COMMIT', 'INSERT INTO fees VALUES (2)']) await client.query(text)
    assert.deepEqual(fleet.pool.executed.map(({ transaction, database }) => `${transaction} ${database}`),
      ['begin db1', 'continue db1', 'continue db1', 'continue db1', 'none db1'])
  })

  // Guards against pipelined statements that run outside of a transaction after their transaction was lost.
  it('rejects further statements of a lost transaction until the caller ends it', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    await client.query('BEGIN')
    fleet.pool.handle = (params, connection) => {
      connection.destroy()
      return fleet.pool.buildResult(params)
    }
    const caller = RawCaller.create(client)
    caller.send(['Q', 'INSERT INTO fees VALUES (1)\0'], ['Q', 'INSERT INTO fees VALUES (2)\0'], ['Q', 'COMMIT\0'], ['Q', '\0'])
    assert.equal(await caller.readTypes(4), 'EZEZCZIZ')
    const texts = caller.list().map(({ text }) => text)
    assert.match(texts[0] ?? '', /40001/)
    assert.match(texts[2] ?? '', /25P02/)
    assert.deepEqual(caller.list().filter(({ type }) => type === 'C').map(({ text }) => text), ['ROLLBACK\0'])
    assert.deepEqual(caller.list().filter(({ type }) => type === 'Z').map(({ text }) => text), ['E', 'E', 'I', 'I'])
    assert.equal(fleet.pool.executed.length, 2)
  })

  // Guards against a BEGIN that runs after its time-out and whose connection is then used for the next transaction.
  it('uses a new session identifier for each transaction and releases that of a timed-out BEGIN', async () => {
    fleet = await TestFleet.open({ entry: { statementDeadlineMs: 50 }, settings: { answerGraceMs: 50 } })
    const client = await fleet.connect()
    fleet.pool.handle = async () => await new Promise(() => {})
    await assert.rejects(client.query('BEGIN'), { code: '57P03', hint: /^Not run/ })
    fleet.pool.handle = (params) => fleet.pool.buildResult(params)
    await client.query('BEGIN')
    await client.query('COMMIT')
    const [late, begin, commit] = fleet.pool.executed.map(({ sessionId }) => sessionId)
    assert.notEqual(late, begin)
    assert.equal(begin, commit)
    assert.deepEqual(fleet.pool.released, [late])
  })

  it('responds to a Sync alone in a failed transaction without another error', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    await client.query('BEGIN')
    await assert.rejects(client.query('LISTEN a'), { code: '0A000' })
    const caller = RawCaller.create(client)
    caller.send(['S', ''], ['Q', 'ROLLBACK\0'])
    assert.equal(await caller.readTypes(2), 'ZCZ')
  })

  it('reports an unknown outcome when the response to COMMIT is lost', async () => {
    fleet = await TestFleet.open({ entry: { repeatable: true } })
    const client = await fleet.connect()
    await client.query('BEGIN')
    fleet.pool.handle = (params, connection) => {
      connection.destroy()
      return fleet.pool.buildResult(params)
    }
    await assert.rejects(client.query('COMMIT'), { code: '08007' })
    assert.equal(fleet.pool.executed.length, 2)
  })

  it('releases the transaction of a caller that disconnects', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    await client.query('BEGIN')
    RawCaller.create(client).socket.destroy()
    await waitFor(() => fleet.pool.released.length === 1)
    assert.equal(fleet.pool.released[0], fleet.pool.executed[0]?.sessionId)
  })
})

describe('rate limit and shutdown', () => {
  afterEach(async () => { await fleet.close() })

  it('rejects a request with a retry hint and does not run it when no tokens are granted, but always runs the end of a transaction', async () => {
    fleet = await TestFleet.open({ settings: { grantWaitMs: 40 } })
    const client = await fleet.connect()
    await client.query('BEGIN')
    fleet.control.tokensPerRequest = 0
    await assert.rejects(async () => { for (;;) await client.query('INSERT INTO fees VALUES (1)') }, { code: '53400', hint: /Not run. Repeat after \d+ ms/ })
    const count = fleet.pool.executed.length
    assert.equal((await client.query('ROLLBACK')).command, 'ROLLBACK')
    await assert.rejects(client.query('SELECT 1'), { code: '53400' })
    assert.equal(fleet.pool.executed.length, count)
    await waitFor(() => fleet.pool.released.length === 1)
  })

  // Guards against a rejection by the rate limiter when the response of control is late but enough tokens are granted.
  it('waits longer for a late response of control than for missing tokens', async () => {
    fleet = await TestFleet.open({ settings: { grantWaitMs: 1000 } })
    const client = await fleet.connect()
    let sendResponse = (): void => {}
    fleet.control.beforeResponse = async () => { await new Promise<void>((resolve) => { sendResponse = resolve }) }
    const waiting = client.query('INSERT INTO fees VALUES (1)')
    await waitFor(() => fleet.control.requests.length === 1)
    fleet.clock.advance(1500)
    sendResponse()
    await waiting
  })

  // Guards against unspent tokens that no host can use after their host has shut down.
  it('returns unspent tokens and ends sessions with 57P01 after their transactions on a graceful shutdown', async () => {
    fleet = await TestFleet.open({ settings: { drainTimeoutMs: 10_000 } })
    const [idle, open] = [await fleet.connect(), await fleet.connect()]
    const ended = [idle, open].map(async (client) => await new Promise((resolve) => { client.once('error', ({ code }: Error & { code?: string }) => { resolve(code) }) }))
    await open.query('BEGIN')
    await open.query('INSERT INTO fees VALUES (1)')
    const closing = fleet.entries[0]?.close()
    assert.equal(await ended[0], '57P01')
    await open.query('INSERT INTO fees VALUES (2)')
    await open.query('COMMIT')
    assert.equal(await ended[1], '57P01')
    await closing
    assert.equal(fleet.pool.released.length, 0)
    assert.ok(fleet.control.returned.length > 0)
    fleet.entries.length = 0
  })

  it('stops accepting callers while its host is drained and accepts them again when the drain is cancelled', async () => {
    fleet = await TestFleet.open()
    const entry = fleet.entries[0]
    fleet.control.sendMembership(true)
    await waitFor(() => entry?.isReady === false)
    await assert.rejects(fleet.connect())
    fleet.control.sendMembership(false)
    await waitFor(() => entry?.isReady === true)
    await (await fleet.connect()).query('SELECT 1')
  })
})
