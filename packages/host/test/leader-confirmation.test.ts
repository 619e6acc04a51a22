import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { Position } from '@tanagerusher/state/position/position'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { DatabaseOwner } from '../src/upstream/database-owner.js'
import { createFakeConnection } from './fixtures/create-fake-connection.js'
import { openTestOwner } from './fixtures/open-test-owner.js'

const OPEN_POSITION = { term: 1, position: 5 }
const COMMIT_POSITION = { term: 1, position: 6 }

function openOwner (): { owner: DatabaseOwner, confirmed: Position[] } {
  const confirmed: Position[] = []
  const answer = async (command: UpstreamCommand): Promise<StatementResponse> => ({ type: 'done', proof: 'p', rows: [], position: command.type === 'commit' ? COMMIT_POSITION : OPEN_POSITION })
  const owner = openTestOwner({
    open: async () => ({ type: 'opened', connection: createFakeConnection(answer), position: OPEN_POSITION }),
    events: { handleLeaderConfirmation: (_record, position) => { confirmed.push(position) }, findReadPosition: () => undefined }
  })
  return { owner, confirmed }
}

function buildParams (operation: UpstreamExecuteParams['operation']): UpstreamExecuteParams {
  return { session: 's', databaseId: 'd', organisation: 'o', operation, values: [], timeLeftMs: 2000, priority: 1 }
}

async function runTransaction (access: 'read' | 'write'): Promise<Position[]> {
  const { owner, confirmed } = openOwner()
  const run = { type: 'run', id: 'r1', text: `${access.toUpperCase()} x`, access, transaction: 'opens', isReadOnly: false } as const
  assert.equal((await owner.execute(buildParams(run))).answer.type, 'done')
  assert.equal((await owner.execute(buildParams({ type: 'commit', id: 'c1' }))).answer.type, 'done')
  owner.close()
  return confirmed
}

// Guards against bounded reads on the log of a replaced primary, whose position was taken for that of the primary.
test('the COMMIT of a transaction that wrote nothing does not confirm the database as the primary', async () => {
  assert.deepEqual(await runTransaction('read'), [OPEN_POSITION])
})

test('the COMMIT of writes confirms the database as the primary at its position', async () => {
  assert.deepEqual(await runTransaction('write'), [OPEN_POSITION, COMMIT_POSITION])
})
