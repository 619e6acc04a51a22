import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import { computeConnectionLimit } from '../../src/fairness/compute-connection-limit.js'
import { ConnectionSetup } from '../../src/transaction/connection-setup.js'
import { planConnection } from '../../src/transaction/plan-connection.js'

const done: StatementResponse = { type: 'done', proof: '-', rows: [] }
const values: Array<[string, string]> = [['zone', 'b'], ['lang', 'et']]
const statement = { name: 's1', access: 'read', shape: 'q1' } as const

function applySetup (setup: ConnectionSetup, ...session: Parameters<ConnectionSetup['listCommands']>): void {
  for (const command of setup.listCommands(...session)) setup.recordResponse(command, done)
}

test('a reused connection is set up with exactly the values and prepared statements of the next session', () => {
  const setup = ConnectionSetup.create()
  applySetup(setup, [['zone', 'a'], ['lang', 'et']], statement)
  const commands = setup.listCommands([['zone', 'b']], { name: 's1', access: 'write', shape: 'q2' })
  assert.deepEqual(commands, [{ type: 'reset' }, { type: 'set', name: 'zone', value: 'b' }, { type: 'prepare', name: 's1', access: 'write', shape: 'q2' }])
})

test('inside a transaction a changed or additional value is set without a reset, and a changed statement is deallocated and prepared again', () => {
  const setup = ConnectionSetup.create()
  applySetup(setup, [['zone', 'a']], statement)
  assert.deepEqual(setup.listCommands(values, { ...statement, shape: 'q9' }), [
    { type: 'set', name: 'zone', value: 'b' }, { type: 'set', name: 'lang', value: 'et' },
    { type: 'deallocate', name: 's1' }, { type: 'prepare', name: 's1', access: 'read', shape: 'q9' }
  ])
  applySetup(setup, values, { ...statement, shape: 'q9' })
  assert.deepEqual(setup.listCommands(values, undefined), [])
})

// Guards against values and names that count as held because they were sent.
test('commands that were sent and not answered, or that did not run, change nothing', () => {
  const setup = ConnectionSetup.create()
  const commands = setup.listCommands(values, statement)
  assert.deepEqual(setup.listCommands(values, statement), commands)
  for (const command of commands) setup.recordResponse(command, { type: 'failed', failure: 'busy', text: '' })
  assert.deepEqual(setup.listCommands(values, statement), commands)
  assert.equal(setup.hasValues(values) || setup.hasPrepared(statement), false)
})

test('after a command that may have run although it failed, the connection is reset before its next use', () => {
  for (const failure of ['failed', 'timeout', 'malformed'] as const) {
    const setup = ConnectionSetup.create()
    applySetup(setup, values, statement)
    setup.recordResponse({ type: 'set', name: 'zone', value: 'c' }, { type: 'failed', failure, text: '' })
    const expected = [{ type: 'reset' }, { type: 'set', name: 'zone', value: 'b' }, { type: 'set', name: 'lang', value: 'et' }, { type: 'prepare', ...statement }]
    assert.equal(setup.hasValues([]), false)
    assert.deepEqual(setup.listCommands(values, statement), expected)
    setup.recordResponse({ type: 'reset' }, { type: 'failed', failure: 'busy', text: '' })
    assert.deepEqual(setup.listCommands(values, statement), expected, 'a refused RESET leaves the state unknown')
    applySetup(setup, values, statement)
    assert.deepEqual(setup.listCommands(values, statement), [])
  }
})

test('at the limit the least recently used idle connection of another organisation is replaced, and a busy connection never is', () => {
  const connections = [
    { organisation: 'a', isIdle: false, usedAt: 1 }, { organisation: 'b', isIdle: true, usedAt: 5 }, { organisation: 'c', isIdle: true, usedAt: 3 }
  ]
  const plan = planConnection({ organisation: 'd', connections, opening: new Map(), waiting: 1, limit: 3 })
  assert.deepEqual(plan, { type: 'replace', victim: connections[2] })
  const busy = connections.map((connection) => ({ ...connection, isIdle: false }))
  assert.equal(planConnection({ organisation: 'd', connections: busy, opening: new Map(), waiting: 1, limit: 3 }).type, 'wait')
  assert.equal(planConnection({ organisation: 'd', connections: busy, opening: new Map([['d', 1]]), waiting: 1, limit: 9 }).type, 'wait')
})

test('the connection limits of all owners that may be active at the same time add up to at most the limit of the database', () => {
  for (const maxConnections of [23, 49, 50, 285]) {
    const sum = [0, 1].reduce((total, rank) => total + computeConnectionLimit({ maxConnections, rank, isActing: false }), 0)
    assert.ok(sum <= maxConnections, `${sum} of ${maxConnections}`)
  }
})
