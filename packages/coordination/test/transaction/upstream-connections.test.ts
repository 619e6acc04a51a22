import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeConnectionLimit } from '../../src/fairness/compute-connection-limit.js'
import { ConnectionSetup } from '../../src/transaction/connection-setup.js'
import { planConnection } from '../../src/transaction/plan-connection.js'

test("a connection that served one session gives the next one exactly that session's values and statements", () => {
  const setup = ConnectionSetup.create()
  setup.listCommands([['zone', 'a'], ['lang', 'et']], { name: 's1', access: 'read', shape: 'q1' })
  const commands = setup.listCommands([['zone', 'b']], { name: 's1', access: 'write', shape: 'q2' })
  assert.deepEqual(commands, [{ type: 'reset' }, { type: 'set', name: 'zone', value: 'b' }, { type: 'prepare', name: 's1', access: 'write', shape: 'q2' }])
})

test('inside a transaction a changed value is set without a reset, and a changed statement is prepared anew', () => {
  const setup = ConnectionSetup.create()
  setup.listCommands([['zone', 'a']], { name: 's1', access: 'read', shape: 'q1' })
  assert.deepEqual(setup.listCommands([['zone', 'b'], ['lang', 'et']], { name: 's1', access: 'read', shape: 'q9' }), [
    { type: 'set', name: 'zone', value: 'b' }, { type: 'set', name: 'lang', value: 'et' },
    { type: 'deallocate', name: 's1' }, { type: 'prepare', name: 's1', access: 'read', shape: 'q9' }
  ])
  assert.deepEqual(setup.listCommands([['zone', 'b'], ['lang', 'et']], undefined), [])
})

test('at the limit the idle connection of another organisation that was used least recently gives way, a busy one never', () => {
  const connections = [
    { organisation: 'a', isIdle: false, usedAt: 1 }, { organisation: 'b', isIdle: true, usedAt: 5 }, { organisation: 'c', isIdle: true, usedAt: 3 }
  ]
  const plan = planConnection({ organisation: 'd', connections, opening: new Map(), waiting: 1, limit: 3 })
  assert.deepEqual(plan, { type: 'replace', victim: connections[2] })
  const busy = connections.map((connection) => ({ ...connection, isIdle: false }))
  assert.equal(planConnection({ organisation: 'd', connections: busy, opening: new Map(), waiting: 1, limit: 3 }).type, 'wait')
  assert.equal(planConnection({ organisation: 'd', connections: busy, opening: new Map([['d', 1]]), waiting: 1, limit: 9 }).type, 'wait')
})

test('the parts of the owners that may be active at once stay within the limit of a database', () => {
  for (const maxConnections of [23, 49, 50, 285]) {
    const sum = [0, 1].reduce((total, rank) => total + computeConnectionLimit({ maxConnections, rank, isActing: false }), 0)
    assert.ok(sum <= maxConnections, `${sum} of ${maxConnections}`)
  }
})
