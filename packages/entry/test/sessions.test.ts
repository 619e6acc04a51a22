import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import type pg from 'pg'
import { RawCaller } from './fixtures/raw-caller.js'
import { TestFleet } from './fixtures/test-fleet.js'

let fleet: TestFleet

/** Returns an object with the last session token that the client received. */
function watchToken (client: pg.Client): { value: string } {
  const token = { value: '' }
  const { connection } = client as unknown as { connection: NodeJS.EventEmitter }
  connection.on('parameterStatus', ({ parameterName, parameterValue }: { parameterName: string, parameterValue: string }) => {
    if (parameterName === 'tanagerusher.session') token.value = parameterValue
  })
  return token
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => { setImmediate(resolve) })
}

/** Waits until a count is above 0 and no longer rises. */
async function waitUntilStable (count: () => number): Promise<void> {
  for (let last = -1; count() !== last || last === 0;) {
    last = count()
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
}

describe('session consistency', () => {
  afterEach(async () => { await fleet.close() })

  // Guards against a read through another host that does not see the session's own write.
  it('applies the floor of a session token at another host, given at log-in or in a statement comment', async () => {
    fleet = await TestFleet.open({ hosts: 2 })
    const first = await fleet.connect()
    const token = watchToken(first)
    await first.query('INSERT INTO fees VALUES (1)')
    const second = await fleet.connect({ options: `-c tanagerusher.session=${token.value}` }, 1)
    await second.query('SELECT 1')
    const third = await fleet.connect({}, 1)
    await third.query(`SELECT 1 /*session='${token.value}'*/`)
    for (const { floor } of fleet.pool.executed.slice(1)) assert.deepEqual(floor, { term: 1, position: 11 })
    assert.equal(fleet.pool.probes, 0)
  })

  it('requests a confirmed floor once for a session whose first statement is a read and that has no token', async () => {
    fleet = await TestFleet.open({ hosts: 2 })
    const writer = await fleet.connect()
    await writer.query('INSERT INTO fees VALUES (1)')
    const reader = await fleet.connect({}, 1)
    await reader.query('SELECT 1')
    await reader.query('SELECT 1')
    assert.equal(fleet.pool.probes, 1)
    assert.deepEqual(fleet.pool.executed.at(-1)?.floor, { term: 1, position: 11 })
  })

  // Guards against floors from forged tokens and from tokens of another organisation.
  it('rejects a forged token and a token of another organisation before anything runs', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    const token = watchToken(client)
    await client.query('INSERT INTO fees VALUES (1)')
    const [payload, keyId, mac] = token.value.split('.') as [string, string, string]
    const forged = `${Buffer.from('1|o1|g1:1:999').toString('base64url')}.${keyId}.${mac}`
    for (const bad of [forged, `${payload}.b.${mac}`, `${payload}.${keyId}.`, 'x']) {
      await assert.rejects(fleet.connect({ options: `-c tanagerusher.session=${bad}` }), { code: '22023' })
      await assert.rejects(client.query(`SELECT 1 /*session='${bad}'*/`), { code: '22023' })
    }
    await assert.rejects(fleet.connect({ user: 'o2', password: 'secret-2', options: `-c tanagerusher.session=${token.value}` }), { code: '22023' })
    assert.equal(fleet.pool.executed.length, 1)
  })

  // Guards against reads at a replica that was partitioned before a failover and has writes that the failover lost.
  it('does not read from a replica of an old term after a failover, also when its log is longer than the floor', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    await client.query('INSERT INTO fees VALUES (1)')
    const [, replica] = fleet.pool.status.members
    fleet.pool.status = {
      group: 'g1',
      term: 2,
      primary: 'db1',
      members: [
        { ...fleet.pool.status.members[0] as NonNullable<typeof replica>, log: { term: 2, position: 12 } },
        { ...replica as NonNullable<typeof replica>, log: { term: 1, position: 500 } }
      ]
    }
    fleet.pool.position = { term: 2, position: 12 }
    fleet.pool.sendStatus()
    await client.query('INSERT INTO fees VALUES (2)')
    await client.query('SELECT 1')
    assert.deepEqual(fleet.pool.executed.at(-1)?.floor, { term: 2, position: 13 })
    assert.equal(fleet.pool.executed.at(-1)?.database, 'db1')
  })

  it('retries a write that was classified as a read once, at the primary', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    const error = Buffer.from('E\0\0\0\x1aSERROR\0C25006\0Mread-only\0\0', 'latin1')
    error.writeUInt32BE(error.length - 1, 1)
    fleet.pool.handle = (params) => params.access === 'read' ? { ...fleet.pool.buildResult(params), frames: error as Buffer<ArrayBuffer>, position: null } : fleet.pool.buildResult(params)
    assert.deepEqual((await client.query('SELECT nextval($1)', ['s'])).rows, [{ value: 'db1' }])
    assert.deepEqual(fleet.pool.executed.map(({ access }) => access), ['read', 'write'])
  })
})

describe('keys', () => {
  afterEach(async () => { await fleet.close() })

  it('accepts each key of an organisation and rejects a wrong key, an unknown organisation, an entry of another organisation and an unknown entry', async () => {
    fleet = await TestFleet.open({ settings: { limits: { logInFailureDelayMs: 1 } } })
    await fleet.connect()
    await fleet.connect({ password: 'secret-1b' })
    await assert.rejects(fleet.connect({ password: 'secret-2' }), { code: '28P01' })
    await assert.rejects(fleet.connect({ user: 'nobody', password: 'secret-1' }), { code: '28P01' })
    await assert.rejects(fleet.connect({ database: 'private' }), { code: '42501' })
    await assert.rejects(fleet.connect({ database: 'missing' }), { code: '3D000' })
  })

  // Guards against attempts to guess a key that lock out callers with a valid key of the same organisation.
  it('accepts a valid key while the responses to failed log-ins are delayed', async () => {
    fleet = await TestFleet.open({ settings: { limits: { logInFailureDelayMs: 60_000, maximumHeldFailures: 2 } } })
    for (let count = 0; count < 2; count++) fleet.connect({ password: 'guess' }).catch(() => {})
    await assert.rejects(async () => { for (;;) await Promise.race([fleet.connect({ password: 'guess' }), new Promise((resolve) => { setTimeout(resolve, 50) })]) })
    await (await fleet.connect()).query('SELECT 1')
  })

  // Guards against callers that keep using a withdrawn key because they connected before the withdrawal.
  it('ends idle sessions, open transactions and waiting requests of a withdrawn key with 28000, and serves other keys', async () => {
    fleet = await TestFleet.open()
    const [idle, open, queued, other] = [await fleet.connect(), await fleet.connect(), await fleet.connect(), await fleet.connect({ password: 'secret-1b' })]
    const ended = [idle, open].map(async (client) => await new Promise((resolve) => { client.once('error', ({ code }: Error & { code?: string }) => { resolve(code) }) }))
    await open.query('BEGIN')
    await open.query('INSERT INTO fees VALUES (1)')
    let isProbed = false
    fleet.pool.handleProbe = async () => {
      isProbed = true
      return await new Promise(() => {})
    }
    const waiting = queued.query('SELECT 1')
    waiting.catch(() => {})
    await waitFor(() => isProbed)
    fleet.withdrawKey('k1')
    await assert.rejects(waiting, { code: '28000' })
    assert.deepEqual(await Promise.all(ended), ['28000', '28000'])
    await waitFor(() => fleet.pool.released.length === 1)
    await other.query('INSERT INTO fees VALUES (2)')
    await assert.rejects(fleet.connect(), { code: '28P01' })
    assert.ok(!fleet.pool.texts.some((text) => /SELECT 1/.test(text)))
  })

  // Guards against keys that leak into messages, logs or errors.
  it('includes no key in messages to pools and control, in logs or in errors', async () => {
    fleet = await TestFleet.open({ settings: { logLevel: 'debug', limits: { logInFailureDelayMs: 1 } } })
    await (await fleet.connect()).query('SELECT 1')
    const error = await fleet.connect({ password: 'secret-wrong' }).catch((failure: unknown) => failure)
    const output = JSON.stringify([fleet.pool.executed, fleet.control.requests, fleet.logLines, error, (error as Error).message])
    assert.doesNotMatch(output, /secret-/)
  })

  it('stops serving when the configuration has not been confirmed for too long', async () => {
    fleet = await TestFleet.open({ settings: { configurationMaximumAgeMs: 5000 } })
    const client = await fleet.connect()
    fleet.control.confirmedAgeMs = 6000
    fleet.clock.advance(5000)
    fleet.control.sendMembership()
    await waitFor(() => !(fleet.entries[0]?.isReady ?? true))
    await assert.rejects(client.query('INSERT INTO fees VALUES (1)'), { code: '57P03' })
    assert.equal(fleet.pool.executed.length, 0)
  })
})

describe('faulty and slow callers', () => {
  afterEach(async () => { await fleet.close() })

  it('rejects malformed and over-long messages with 08P01 and closes the connection of that caller only', async () => {
    fleet = await TestFleet.open({ settings: { limits: { maximumMessageBytes: 2048 } } })
    const port = fleet.entries[0]?.callerPort as number
    const startups = [Buffer.from([0, 0, 0, 1]), Buffer.from([0x7f, 0xff, 0xff, 0xff]), Buffer.from([0, 0, 0, 8, 0, 9, 0, 0]), Buffer.from('GET / HTTP/1.1\r\n\r\n')]
    for (const bytes of startups) {
      const caller = RawCaller.fromSocket(connect(port, '127.0.0.1'))
      caller.send(bytes)
      await caller.waitForClose()
      assert.match(caller.list()[0]?.text ?? '', /08P01/)
    }
    for (const header of [[0x51, 0x7f, 0xff, 0xff, 0xff], [0x51, 0, 0, 0, 1]]) {
      const caller = RawCaller.create(await fleet.connect())
      caller.send(Buffer.from(header))
      await caller.waitForClose()
      assert.match(caller.list().at(-1)?.text ?? '', /08P01/)
    }
    const otherCaller = RawCaller.create(await fleet.connect())
    otherCaller.send(['y', ''], ['S', ''], ['B', 'no terminator'], ['S', ''], ['Q', 'SELECT 1\0'])
    assert.equal(await otherCaller.readTypes(3), 'EZEZTDCZ')
    assert.equal(fleet.pool.executed.length, 1)
  })

  it('rejects statements and messages that shared connections cannot support before they run', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    for (const text of ['COPY t FROM STDIN', 'LISTEN a', 'SET a = b', 'SELECT 1; PREPARE p AS SELECT 1']) await assert.rejects(client.query(text), { code: '0A000' })
    await assert.rejects(client.query('LISTEN a', []), { code: '0A000' })
    const raw = RawCaller.create(client)
    raw.send(['F', '\0'], ['H', ''], ['S', ''])
    assert.equal(await raw.readTypes(2), 'EZEZ')
    assert.equal(fleet.pool.executed.length, 0)
  })

  // Guards against sessions and transactions that stay open after their callers vanish without closing the connection.
  it('closes a log-in that times out and rolls back the transaction of a caller that is idle too long', async () => {
    fleet = await TestFleet.open()
    const pendingLogIn = RawCaller.fromSocket(connect(fleet.entries[0]?.callerPort as number, '127.0.0.1'))
    pendingLogIn.send(Buffer.from([0, 0, 0]))
    const client = await fleet.connect()
    await client.query('BEGIN')
    const ended = new Promise((resolve) => { client.once('error', ({ code }: Error & { code?: string }) => { resolve(code) }) })
    fleet.clock.advance(10_100)
    fleet.control.sendMembership()
    await pendingLogIn.waitForClose()
    assert.equal(await ended, '57P05')
    await waitFor(() => fleet.pool.released.length === 1)
  })

  // Guards against unbounded memory use in the entry by results for a caller that does not read.
  it('limits how fast a pool sends a large result to how fast the caller reads it', async () => {
    fleet = await TestFleet.open({ settings: { windowBytes: 256 * 1024 } })
    const row = Buffer.concat([Buffer.from([0x44, 0, 1, 0, 3, 0]), Buffer.alloc(65_534)])
    const total = 250
    let sent = 0
    fleet.pool.handle = async (params, connection) => {
      const credits = fleet.pool.credits
      const countOutstanding = (): number => sent * row.length - credits.reduce((sum, bytes) => sum + bytes, 0)
      for (; sent < total; sent++) {
        while (countOutstanding() >= params.windowBytes) await new Promise((resolve) => { setTimeout(resolve, 1) })
        fleet.pool.sendChunk(connection, params.requestId, sent, row)
      }
      return { ...fleet.pool.buildResult(params), chunks: total }
    }
    const caller = RawCaller.create(await fleet.connect())
    caller.socket.pause()
    caller.send(['Q', 'SELECT 1\0'])
    await waitUntilStable(() => sent)
    assert.ok(sent < total, `${sent} of ${total} chunks were sent to a caller that reads nothing`)
    caller.socket.resume()
    assert.equal((await caller.readTypes(1)).match(/D/g)?.length, total + 1)
  })

  // Guards against pool slots that stay occupied by a caller that does not read its result.
  it('disconnects a caller that reads nothing for too long and cancels its request', async () => {
    fleet = await TestFleet.open()
    const row = Buffer.concat([Buffer.from([0x44, 0, 1, 0, 3, 0]), Buffer.alloc(65_534)])
    let sent = 0
    fleet.pool.handle = async (params, connection) => {
      for (; sent < 300; sent++) {
        fleet.pool.sendChunk(connection, params.requestId, sent, row)
        await new Promise((resolve) => { setTimeout(resolve, 1) })
      }
      return await new Promise(() => {})
    }
    const caller = RawCaller.create(await fleet.connect())
    caller.socket.pause()
    caller.send(['Q', 'SELECT 1\0'])
    await waitUntilStable(() => sent)
    fleet.clock.advance(61_000)
    await waitFor(() => fleet.pool.cancelled.length === 1)
    assert.deepEqual(fleet.pool.cancelled, [fleet.pool.executed[0]?.requestId])
    caller.socket.destroy()
  })

  // Guards against unbounded memory use in the entry by pipelined input while a request runs.
  it('stops reading from a caller that pipelines more than the limit while a request runs', async () => {
    fleet = await TestFleet.open({ settings: { limits: { maximumPipelinedBytes: 64 * 1024 } } })
    let finish = (): void => {}
    fleet.pool.handle = async (params) => {
      await new Promise<void>((resolve) => { finish = resolve })
      return fleet.pool.buildResult(params)
    }
    const caller = RawCaller.create(await fleet.connect())
    const text = `SELECT '${'x'.repeat(1000)}'\0`
    const count = 20_000
    caller.send(...Array.from({ length: count }, (): [string, string] => ['Q', text]))
    await waitUntilStable(() => caller.socket.writableLength)
    assert.ok(caller.socket.writableLength > 1_000_000, `${caller.socket.writableLength} bytes are left to send`)
    fleet.pool.handle = (params) => fleet.pool.buildResult(params)
    finish()
    await caller.readTypes(100)
    caller.socket.destroy()
  })

  it('runs pipelined messages in order, with named statements that stay valid across batches and upstream connections', async () => {
    fleet = await TestFleet.open()
    const caller = RawCaller.create(await fleet.connect())
    const bind = (name: string): [string, string] => ['B', `\0${name}\0\0\0\0\0\0\0`]
    caller.send(['P', 's1\0SELECT 1\0\0\0'], ['D', 'Ss1\0'], ['S', ''], bind('s1'), ['E', '\0\0\0\0\0'], ['P', 's2\0INSERT INTO t VALUES (1)\0\0\0'], bind('s2'), ['E', '\0\0\0\0\0'], ['S', ''])
    caller.send(['C', 'Ss1\0'], ['S', ''], ['P', 's1\0SELECT 2\0\0\0'], ['P', 's2\0SELECT 3\0\0\0'], ['S', ''], ['Q', '\0'])
    assert.equal(await caller.readTypes(5), '1TZ2DC12DCZ3ZEZIZ')
    const [described, run] = fleet.pool.executed
    assert.equal(fleet.pool.executed.length, 2)
    assert.deepEqual([described?.access, run?.access, run?.statements.length], ['read', 'write', 2])
    assert.equal(described?.statements[0]?.name, run?.statements[0]?.name)
    assert.ok(Buffer.from(run?.frames ?? []).includes(run?.statements[1]?.name as string))
  })
})

describe('cancel', () => {
  afterEach(async () => { await fleet.close() })

  function sendCancel (client: pg.Client, host: number): RawCaller {
    const { processID, secretKey } = client as unknown as { processID: number, secretKey: number }
    const packet = Buffer.alloc(16)
    packet.writeUInt32BE(16, 0)
    packet.writeUInt32BE(80877102, 4)
    packet.writeUInt32BE(processID, 8)
    packet.writeInt32BE(secretKey, 12)
    const caller = RawCaller.fromSocket(connect(fleet.entries[host]?.callerPort as number, '127.0.0.1'))
    caller.send(packet)
    return caller
  }

  // Guards against a late second cancel request that cancels the next statement.
  it('cancels the running request from any host, and a second cancel does not affect the next request', async () => {
    fleet = await TestFleet.open({ hosts: 2 })
    const client = await fleet.connect()
    let finish = (): void => {}
    fleet.pool.handle = async (params) => {
      await new Promise<void>((resolve) => { finish = resolve })
      return fleet.pool.buildResult(params)
    }
    const running = client.query('INSERT INTO fees VALUES (1)')
    await waitFor(() => fleet.pool.executed.length === 1)
    await sendCancel(client, 1).waitForClose()
    await waitFor(() => fleet.pool.cancelled.length === 1)
    assert.deepEqual(fleet.pool.cancelled, [fleet.pool.executed[0]?.requestId])
    finish()
    await running
    await sendCancel(client, 1).waitForClose()
    fleet.pool.handle = (params) => fleet.pool.buildResult(params)
    await client.query('INSERT INTO fees VALUES (2)')
    assert.equal(fleet.pool.cancelled.length, 1)
  })

  it('ends a request that waits at the entry and reports it as not run', async () => {
    fleet = await TestFleet.open()
    const client = await fleet.connect()
    let isProbed = false
    fleet.pool.handleProbe = async () => {
      isProbed = true
      return await new Promise(() => {})
    }
    const waiting = client.query('SELECT 1')
    waiting.catch(() => {})
    await waitFor(() => isProbed)
    sendCancel(client, 0)
    await assert.rejects(waiting, { code: '57014', hint: /^Not run/ })
    assert.equal(fleet.pool.executed.length, 0)
    await client.query('INSERT INTO fees VALUES (1)')
  })
})
