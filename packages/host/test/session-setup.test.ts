import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { DatabaseOwner } from '../src/upstream/database-owner.js'
import { delay } from '../src/program/delay.js'
import { buildExecuteParams } from './fixtures/build-execute-params.js'
import { openFakeOwner } from './fixtures/open-fake-owner.js'

interface Session { values: Array<[string, string]>, shape: string }

interface Work { access: 'read' | 'write', transaction: 'none' | 'opens' | 'joins', isOnReplica: boolean }

const RELEASE_MS = 5
const first: Session = { values: [['mode', 'strict'], ['zone', 'a']], shape: 'q1' }
const second: Session = { values: [['mode', 'fast']], shape: 'q2' }
const replicaRead = { maxStalenessMs: 1000, floor: { term: 1, position: 1 } }

const works: Record<string, Work> = {
  'single write': { access: 'write', transaction: 'none', isOnReplica: false },
  'read at the primary': { access: 'read', transaction: 'none', isOnReplica: false },
  'read at a replica': { access: 'read', transaction: 'none', isOnReplica: true },
  'first statement of a transaction': { access: 'write', transaction: 'opens', isOnReplica: false },
  'later statement of a transaction': { access: 'write', transaction: 'joins', isOnReplica: false }
}

async function execute (owner: DatabaseOwner, id: string, { access, transaction, isOnReplica }: Work, { values, shape }: Session): Promise<StatementResponse> {
  const operation: UpstreamExecuteParams['operation'] = { type: 'run', id, text: 'EXECUTE s x', access, transaction, isReadOnly: isOnReplica }
  return (await owner.execute(buildExecuteParams(operation, { values, needed: { name: 's', access, shape }, replicaRead: isOnReplica ? replicaRead : undefined }))).answer
}

/** Commands that change the connection from the first session to the second; in a transaction no value is dropped. */
function listSetupTypes ({ transaction }: Work): Array<UpstreamCommand['type']> { return transaction === 'joins' ? ['set', 'deallocate', 'prepare'] : ['reset', 'set', 'prepare'] }

// Guards against statements that run with another session's values, or an older statement of the same name, because they were sent behind a command that failed.
for (const [title, work] of Object.entries(works)) {
  for (const failing of listSetupTypes(work)) {
    test(`a ${title} is not run when ${failing} before it fails`, async () => {
      const { owner, runs, database } = openFakeOwner()
      const opened: Session = work.transaction === 'joins' ? { ...first, values: [['mode', 'strict']] } : first
      assert.equal((await execute(owner, 'r1', work.transaction === 'joins' ? { ...work, transaction: 'opens' } : work, opened)).type, 'done')
      await delay(RELEASE_MS)
      if (work.transaction === 'opens') await owner.execute(buildExecuteParams({ type: 'rollback' }))
      await delay(RELEASE_MS)
      database.findFailure = ({ type }) => type === failing ? 'busy' : undefined
      const refused = await execute(owner, 'r2', work, second)
      assert.deepEqual([refused.type, refused.type === 'failed' && refused.failure], ['failed', 'busy'])
      assert.deepEqual(runs.map(({ id }) => id), ['r1'])
      owner.close()
    })
  }
}

// Guards against a connection that counts as holding values and names that were refused on it, above all in a transaction at a database that lost the lead.
for (const [title, work] of Object.entries(works)) {
  for (const failing of listSetupTypes(work)) {
    for (const failure of ['busy', 'not-primary', 'failed'] as const) {
      test(`after ${failing} of a ${title} was answered with ${failure}, the connection is set up again for the next session`, async () => {
        const { owner, runs, database } = openFakeOwner()
        const opening: Work = work.transaction === 'joins' ? { ...work, transaction: 'opens' } : work
        await execute(owner, 'r1', opening, work.transaction === 'joins' ? { ...first, values: [['mode', 'strict']] } : first)
        if (work.transaction === 'opens') await owner.execute(buildExecuteParams({ type: 'rollback' }))
        await delay(RELEASE_MS)
        database.findFailure = ({ type }) => type === failing ? failure : undefined
        await execute(owner, 'r2', work, second)
        await delay(RELEASE_MS)
        database.findFailure = () => undefined
        assert.equal((await execute(owner, 'r3', opening, second)).type, 'done')
        assert.deepEqual(runs.slice(1).map(({ id, values, shape }) => [id, values, shape]), [['r3', { mode: 'fast' }, 'q2']])
        owner.close()
      })
    }
  }
}

// Guards against a round trip before each statement although a connection that needs none is idle.
test('a statement gets the connection that holds its values and its prepared statement, and is sent without a round trip', async () => {
  const { owner, sessions } = openFakeOwner()
  const write = works['single write'] as Work
  await Promise.all([execute(owner, 'r1', write, first), execute(owner, 'r2', write, second), execute(owner, 'r3', write, { ...second, shape: 'q3' })])
  const sentBefore = sessions.map(({ batches }) => batches.length)
  assert.equal(sessions.length, 3)
  for (const [index, session] of [{ ...second, shape: 'q3' }, first, second].entries()) await execute(owner, `again${index}`, write, session)
  assert.deepEqual(sessions.map(({ batches }, index) => batches.slice(sentBefore[index]).map((batch) => batch.map(({ type }) => type))), [[['run']], [['run']], [['run']]])
  owner.close()
})

// Guards against `unknown-statement` for a statement whose PREPARE was acknowledged to the caller.
test('a connection that lost a prepared statement refuses the statement as not run and prepares it again', async () => {
  const { owner, runs, sessions } = openFakeOwner()
  const write = works['single write'] as Work
  assert.equal((await execute(owner, 'r1', write, first)).type, 'done')
  sessions[0]?.prepared.clear()
  const refused = await execute(owner, 'r2', write, first)
  assert.equal(refused.type === 'failed' && refused.failure, 'busy')
  assert.equal((await execute(owner, 'r3', write, first)).type, 'done')
  assert.deepEqual(runs.map(({ id, values, shape }) => [id, values, shape]), [['r1', { mode: 'strict', zone: 'a' }, 'q1'], ['r3', { mode: 'strict', zone: 'a' }, 'q1']])
  owner.close()
})
