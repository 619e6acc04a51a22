import assert from 'node:assert/strict'
import { test } from 'node:test'
import { PauseDetector } from '@tanagerusher/coordination/clock/pause-detector'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import { delay } from '../src/program/delay.js'
import { createFakeConnection } from './fixtures/create-fake-connection.js'
import { openTestOwner } from './fixtures/open-test-owner.js'

const done: StatementResponse = { type: 'done', proof: 'p', rows: [], position: undefined }
const position = { term: 1, position: 1 }

function buildParams (id: string, transaction: 'none' | 'opens' | 'joins', session: string): UpstreamExecuteParams {
  return {
    session,
    databaseId: 'd',
    organisation: 'o',
    operation: { type: 'run', id, text: 'READ x', access: 'read', transaction, isReadOnly: true },
    values: [],
    replicaRead: { maxStalenessMs: 1000, floor: position },
    timeLeftMs: 2000,
    priority: 1
  }
}

// Guards against operations that were queued when the home regions changed and then run at a database that is no longer permitted.
test('a queued operation that is no longer permitted is refused as not run when it gets its slot, and an open transaction continues', async () => {
  const ran: string[] = []
  const respond = new Map<string, (response: StatementResponse) => void>()
  const answer = async (command: UpstreamCommand): Promise<StatementResponse> => {
    if (command.type !== 'run') return done
    ran.push(command.id)
    return command.id === 'slow' ? await new Promise((resolve) => respond.set(command.id, resolve)) : done
  }
  let isPermitted = true
  const owner = openTestOwner({
    open: async () => ({ type: 'opened', connection: createFakeConnection(answer), position }),
    isPermitted: () => isPermitted,
    pauses: PauseDetector.create(performance.now())
  })
  assert.equal((await owner.execute(buildParams('first', 'opens', 'open'))).answer.type, 'done')
  const slow = owner.execute(buildParams('slow', 'none', 's1'))
  await delay(20)
  const queued = [owner.execute(buildParams('single', 'none', 's2')), owner.execute(buildParams('opening', 'opens', 's3'))]
  await delay(20)
  isPermitted = false
  respond.get('slow')?.(done)
  assert.equal((await slow).answer.type, 'done')
  for (const { answer: refusal, wasSent } of await Promise.all(queued)) {
    assert.deepEqual([refusal.type, refusal.type === 'failed' ? refusal.failure : '', wasSent], ['failed', 'busy', false])
  }
  assert.equal((await owner.execute(buildParams('joining', 'joins', 'open'))).answer.type, 'done')
  assert.deepEqual(ran, ['first', 'slow', 'joining'])
  owner.close()
})
