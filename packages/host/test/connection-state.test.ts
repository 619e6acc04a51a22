import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DatabaseOwner } from '../src/upstream/database-owner.js'
import { delay } from '../src/program/delay.js'
import { buildExecuteParams } from './fixtures/build-execute-params.js'
import { openFakeOwner } from './fixtures/open-fake-owner.js'

const RELEASE_MS = 5

async function write (owner: DatabaseOwner, id: string): Promise<string> {
  return (await owner.execute(buildExecuteParams({ type: 'run', id, text: 'WRITE x 1', access: 'write', transaction: 'none', isReadOnly: false }))).answer.type
}

async function read (owner: DatabaseOwner, id: string, transaction: 'none' | 'opens' | 'joins'): Promise<string> {
  return (await owner.execute(buildExecuteParams({ type: 'run', id, text: 'READ x', access: 'read', transaction, isReadOnly: false }))).answer.type
}

/** Work that can leave a transaction open when the commands named in the title fail. */
const usesOfConnection: Record<string, (owner: DatabaseOwner) => Promise<unknown>> = {
  probe: async (owner) => await owner.probe(),
  'read at the primary': async (owner) => await read(owner, 'r1', 'none'),
  'transaction that is rolled back': async (owner) => {
    await read(owner, 'r1', 'opens')
    await owner.execute(buildExecuteParams({ type: 'rollback' }))
  },
  'transaction whose COMMIT fails': async (owner) => {
    await read(owner, 'r1', 'opens')
    await owner.execute(buildExecuteParams({ type: 'commit', id: 'c1' }))
  }
}

// Guards against acknowledged writes that are rolled back, because they ran inside a transaction that a failed ROLLBACK left open.
for (const [title, use] of Object.entries(usesOfConnection)) {
  test(`a connection whose transaction did not end is not used again (${title})`, async () => {
    const { owner, runs, sessions, database } = openFakeOwner()
    await write(owner, 'w1')
    database.findFailure = ({ type }) => type === 'rollback' || type === 'commit' ? 'busy' : undefined
    await use(owner)
    await delay(RELEASE_MS)
    database.findFailure = () => undefined
    assert.equal(await write(owner, 'w2'), 'done')
    assert.deepEqual(runs.filter(({ id }) => id.startsWith('w')).map(({ id, state }) => [id, state]), [['w1', 'idle'], ['w2', 'idle']])
    assert.deepEqual(sessions.map(({ isOpen }) => isOpen), [false, true])
    owner.close()
  })
}

// Guards against the same through a control command whose connection is in a transaction, and through a connection that was not idle at its start.
test('a connection that its database reports in a transaction is closed when it opens and after a control command', async () => {
  const { owner, runs, sessions, database } = openFakeOwner()
  database.opensInTransaction = true
  assert.equal(await write(owner, 'w1'), 'done')
  const [first, second] = sessions
  assert.deepEqual([first?.isOpen, second?.isOpen], [false, true])
  const control = owner.runControl({ type: 'status' })
  second?.send([{ type: 'begin', isReadOnly: false, after: undefined }])
  await control
  await delay(RELEASE_MS)
  assert.equal(await write(owner, 'w2'), 'done')
  assert.deepEqual(runs.map(({ state }) => state), ['idle', 'idle'])
  owner.close()
})

// Guards against statements of a transaction that run outside of it, because its BEGIN was taken for carried out.
test('a transaction that its database does not report as open gets no statement', async () => {
  const { owner, runs, sessions } = openFakeOwner()
  assert.equal(await read(owner, 'r1', 'opens'), 'done')
  sessions[0]?.endTransaction()
  assert.equal(await read(owner, 'r2', 'joins'), 'failed')
  assert.deepEqual(runs.map(({ id, state }) => [id, state]), [['r1', 'transaction']])
  owner.close()
})

test('a transaction that its database ended before the session values were set gets no statement', async () => {
  const { owner, runs, sessions, database } = openFakeOwner()
  assert.equal(await read(owner, 'r1', 'opens'), 'done')
  database.findFailure = ({ type }) => {
    if (type === 'set') sessions[0]?.endTransaction()
    return undefined
  }
  const operation = { type: 'run', id: 'r2', text: 'READ x', access: 'read', transaction: 'joins', isReadOnly: false } as const
  const { answer } = await owner.execute(buildExecuteParams(operation, { values: [['mode', 'strict']] }))
  assert.equal(answer.type === 'failed' && answer.failure, 'aborted')
  assert.deepEqual(runs.map(({ id }) => id), ['r1'])
  owner.close()
})
