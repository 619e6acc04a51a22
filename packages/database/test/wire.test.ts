import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { parse, serialize } from 'pg-protocol'
import { TestGroup } from './fixtures/test-group.js'

let group: TestGroup

interface ServerMessage {
  name: string
  code?: string
  text?: string
  fields?: unknown[]
  status?: string
}

/** Sends messages in one batch and returns the responses up to the expected number of ReadyForQuery messages, or up to the end of the connection. */
async function exchange (messages: Buffer[], readyCount: number): Promise<ServerMessage[]> {
  const startup = serialize.startup({ user: 'proxy', database: 'ledger' })
  const socket = connect(group.findPort('a'), '127.0.0.1', () => { socket.write(Buffer.concat([startup, ...messages])) })
  const responses: ServerMessage[] = []
  let ready = 0
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.once('close', () => { resolve() })
    void parse(socket, (message) => {
      if (ready > 0) responses.push(message as unknown as ServerMessage)
      if (message.name === 'readyForQuery' && ++ready === readyCount + 1) resolve()
    })
  })
  socket.destroy()
  return responses
}

describe('PostgreSQL protocol', () => {
  before(async () => { group = await TestGroup.open({ authentication: 'scram-sha-256', connections: 4, reservedConnections: 1 }) })
  after(async () => { await group.close() })

  // Guards against a database that accepts a caller's key or another wrong credential.
  it('authenticates with SCRAM and rejects a wrong password, user or database', async () => {
    await (await group.connect('a')).query('SELECT 1')
    await assert.rejects(group.connect('a', { password: 'wrong' }), { code: '28P01' })
    await assert.rejects(group.connect('a', { user: 'other' }), { code: '28P01' })
    await assert.rejects(group.connect('a', { database: 'other' }), { code: '3D000' })
  })

  // Guards against a database at its connection limit whose status cannot be read, so that no failover could start.
  it('rejects connections over the limit with 53300, and reserves some for control', async () => {
    const clients = await Promise.all([1, 2, 3].map(() => group.connect('a')))
    await assert.rejects(group.connect('a'), { code: '53300' })
    const control = await group.connect('a', { application_name: 'tanagerusher-control' })
    assert.equal((await control.query('SELECT connections FROM platform_status()')).rows[0].connections, 5)
    await assert.rejects(group.connect('a', { application_name: 'tanagerusher-control' }), { code: '53300' })
    await Promise.all([...clients, control].map((client) => client.end()))
  })
})

describe('latency', () => {
  // Guards against a rejected connection that is closed while its last message is still in flight.
  it('delivers the error of a rejected connection to a client in another region', async () => {
    const clients = [{ prefix: '127.0.0.', dataCentre: 'far', region: 'far' }]
    group = await TestGroup.open({ connections: 1, network: { betweenRegionsMs: 5, clients } })
    const client = await group.connect('a')
    await assert.rejects(group.connect('a'), { code: '53300' })
    await client.query("INSERT INTO payment (id) VALUES ('far')")
    await group.close()
  })
})

describe('extended protocol', () => {
  before(async () => { group = await TestGroup.open() })
  after(async () => { await group.close() })

  // Guards against a pipelined statement that runs although an earlier one has failed.
  it('skips everything up to Sync after an error and rolls the pipeline back', async () => {
    const insert = (id: string): Buffer[] => [
      serialize.parse({ text: 'INSERT INTO payment (id) VALUES ($1)' }), serialize.bind({ values: [id] }), serialize.execute({})
    ]
    const responses = await exchange([...insert('k1'), ...insert('k1'), ...insert('k2'), serialize.sync(), ...insert('k3'), serialize.sync()], 2)
    assert.deepEqual(responses.map(({ name, code }) => code ?? name), ['parseComplete', 'bindComplete', 'commandComplete', 'parseComplete', 'bindComplete', '23505',
      'readyForQuery', 'parseComplete', 'bindComplete', 'commandComplete', 'readyForQuery'])
    const client = await group.connect('a')
    assert.deepEqual((await client.query('SELECT id FROM payment')).rows, [{ id: 'k3' }])
  })

  it('suspends a named portal and resumes it at the next row', async () => {
    const responses = await exchange([
      serialize.query('BEGIN'),
      serialize.parse({ name: 's', text: 'SELECT generate_series(1, $1::int) AS n' }), serialize.bind({ statement: 's', portal: 'p', values: ['3'] }),
      serialize.describe({ type: 'S', name: 's' }), serialize.execute({ portal: 'p', rows: 2 }), serialize.execute({ portal: 'p', rows: 2 }),
      serialize.close({ type: 'P', name: 'p' }), serialize.execute({ portal: 'p' }), serialize.sync()
    ], 2)
    assert.deepEqual(responses.slice(2).map(({ name, code, fields, text, status }) => code ?? text ?? status ?? (Array.isArray(fields) && name === 'dataRow' ? fields[0] : name)), [
      'parseComplete', 'bindComplete', 'parameterDescription', 'rowDescription', '1', '2', 'portalSuspended', '3', 'SELECT 3', 'closeComplete', '34000', 'E'
    ])
  })

  it('keeps named statements valid when a table is created later', async () => {
    const client = await group.connect('a')
    await client.query({ name: 'n', text: 'SELECT count(*) FROM payment WHERE id = $1', values: ['none'] })
    await client.query('CREATE TABLE IF NOT EXISTS extra (id integer PRIMARY KEY, note text DEFAULT \'none\')')
    await client.query('INSERT INTO extra (id) VALUES ($1), ($2)', [1, 2])
    assert.equal((await client.query({ name: 'n', text: 'SELECT count(*) FROM payment WHERE id = $1', values: ['none'] })).rows[0].count, '0')
    assert.deepEqual((await client.query('SELECT * FROM extra WHERE id > 1')).rows, [{ id: 2, note: 'none' }])
  })

  // Guards against a response that fills the memory when the client reads slowly, and against rows lost at a flush.
  it('streams a large result completely', async () => {
    const client = await group.connect('a')
    const { rows } = await client.query('SELECT n, repeat(\'x\', 20) AS filler FROM generate_series(1, 200000) n')
    assert.equal(rows.length, 200_000)
    assert.ok(rows.every(({ n }, index) => n === index + 1))
  })

  // Guards against a dropped response that also drops the responses of earlier requests.
  it('sends the responses of earlier requests when the response to a commit is dropped', async () => {
    await group.setFaults({ databases: { a: { dropCommitAnswers: 1 } } })
    const insert = serialize.query("INSERT INTO payment (id) VALUES ('dropped')")
    const responses = await exchange([serialize.query('SELECT 1'), insert, serialize.query("INSERT INTO payment (id) VALUES ('after')")], 3)
    assert.deepEqual(responses.map(({ name }) => name), ['rowDescription', 'dataRow', 'commandComplete', 'readyForQuery'])
    const client = await group.connect('a')
    assert.deepEqual((await client.query("SELECT id FROM payment WHERE id IN ('dropped', 'after')")).rows, [{ id: 'dropped' }])
  })

  it('responds in order to several queries that were sent together', async () => {
    const responses = await exchange(Array.from({ length: 50 }, (_, index) => serialize.query(`SELECT ${index} AS n /* session='${index}' */`)), 50)
    assert.deepEqual(responses.filter(({ name }) => name === 'dataRow').map(({ fields }) => Number(fields?.[0])), Array.from({ length: 50 }, (_, index) => index))
  })
})
