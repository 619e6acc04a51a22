import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DatabaseEnforcedLeases } from '@tanagerusher/coordination/failover/database-enforced-leases'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import { createLogger } from '@tanagerusher/runtime/log/create-logger'
import type { Position } from '@tanagerusher/state/position/position'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import { DatabaseOwner } from '../src/upstream/database-owner.js'
import { createFakeConnection } from './fixtures/create-fake-connection.js'

const OPEN_POSITION = { term: 1, position: 5 }
const COMMIT_POSITION = { term: 1, position: 6 }

function openOwner (): { owner: DatabaseOwner, confirmed: Position[] } {
  const confirmed: Position[] = []
  const answer = async (command: UpstreamCommand): Promise<StatementResponse> => ({ type: 'done', proof: 'p', rows: [], position: command.type === 'commit' ? COMMIT_POSITION : OPEN_POSITION })
  const owner = DatabaseOwner.create({
    record: { id: 'd', group: 'g', address: '127.0.0.1:1', dataCentre: 'a', slots: 1, isLeaving: false, claimsPrimary: true, startedAt: 0, warmupLeftMs: 0, revision: 1 },
    connector: { open: async () => ({ type: 'opened', connection: createFakeConnection(answer), position: OPEN_POSITION }) },
    clock: { readTime: () => performance.now() },
    logger: createLogger({ label: 'host', level: 'error', stream: 'stdout' }),
    events: {
      handleLeaderConfirmation: (_record, position) => { confirmed.push(position) },
      handleLeaderRefusal: () => {},
      waitForReadPosition: async () => {},
      findReadPosition: () => undefined,
      findClosure: () => undefined,
      handleEvacuationRefusal: () => {},
      findWarmupRate: () => undefined,
      handleRecovery: () => {}
    },
    leases: DatabaseEnforcedLeases.create(),
    checkClocks: () => {},
    isPermitted: () => true,
    pauses: undefined
  })
  owner.updateLimit(6)
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
