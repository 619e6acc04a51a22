import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { UpstreamExecuteParams } from '@tanagerusher/protocol/peer/upstream-execute'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import { delay } from '../src/program/delay.js'
import type { DatabaseOwner } from '../src/upstream/database-owner.js'
import { createFakeConnection } from './fixtures/create-fake-connection.js'
import { openTestOwner } from './fixtures/open-test-owner.js'

const TIME_LEFT_MS = 400
const CONNECT_MS = 150
const BEGIN_MS = 100
const position = { term: 1, position: 1 }
const done: StatementResponse = { type: 'done', proof: 'p', rows: [], position }

interface Sent { type: UpstreamCommand['type'], timeoutMs: number }

function openOwner (): { owner: DatabaseOwner, sent: Sent[] } {
  const sent: Sent[] = []
  const answer = async (command: UpstreamCommand): Promise<StatementResponse> => {
    if (command.type === 'begin') await delay(BEGIN_MS)
    return command.type === 'run' && command.id === 'endless' ? await new Promise(() => {}) : done
  }
  const owner = openTestOwner({
    open: async () => {
      await delay(CONNECT_MS)
      return { type: 'opened', connection: createFakeConnection(answer, (commands, timeoutMs) => { sent.push(...commands.map(({ type }) => ({ type, timeoutMs }))) }), position }
    }
  })
  return { owner, sent }
}

function buildParams (id: string, transaction: 'none' | 'opens'): UpstreamExecuteParams {
  return { session: id, databaseId: 'd', organisation: 'o', operation: { type: 'run', id, text: 'READ x', access: 'read', transaction, isReadOnly: false }, values: [], timeLeftMs: TIME_LEFT_MS, priority: 1 }
}

// Guards against a response that comes too late for a stopping host, because each wait of an operation had the whole time of the operation.
for (const transaction of ['none', 'opens'] as const) {
  test(`the waits of one operation share its deadline (transaction: ${transaction})`, async () => {
    const { owner, sent } = openOwner()
    assert.equal((await owner.execute(buildParams('r1', transaction))).answer.type, 'done')
    const [begin, run] = ['begin', 'run'].map((type) => sent.find((command) => command.type === type)?.timeoutMs ?? Infinity) as [number, number]
    assert.ok(begin <= TIME_LEFT_MS - CONNECT_MS + 5, `begin has ${begin} ms`)
    assert.ok(run <= TIME_LEFT_MS - CONNECT_MS - BEGIN_MS + 5, `the statement has ${run} ms`)
    owner.close()
  })
}

// Guards against work of other hosts that is cut off, with an unknown outcome, while it waits at an owner that stops.
test('when the owner stops, work that waits for a slot is refused as not run', async () => {
  const { owner, sent } = openOwner()
  void owner.execute(buildParams('endless', 'none'))
  await delay(CONNECT_MS + BEGIN_MS + 50)
  const waiting = owner.execute(buildParams('waiting', 'none'))
  await delay(20)
  const stoppedAt = performance.now()
  owner.stopWaiting()
  const { answer, wasSent } = await waiting
  assert.ok(performance.now() - stoppedAt < 50)
  assert.deepEqual([answer.type === 'failed' && answer.failure, wasSent], ['busy', false])
  assert.equal(sent.filter(({ type }) => type === 'run').length, 1)
  owner.close()
})
