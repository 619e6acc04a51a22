import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { FleetMember } from '@tanagerusher/state/common/fleet-member'
import { listConfigurationSources } from '../../src/configuration/list-configuration-sources.js'
import { Drain } from '../../src/membership/drain.js'
import { MembershipView } from '../../src/membership/membership-view.js'

function createMember (host: string, incarnation = `${host}-1`, dataCentre = 'd1', state: FleetMember['state'] = 'serving'): FleetMember {
  return { host, incarnation, dataCentre, region: 'r', state, configurationVersion: 1, addresses: { control: { host: '127.0.0.1', port: 1 } } }
}

describe('MembershipView', () => {
  it('suspects a host after 2 s without heartbeat or immediately when it refuses connections, and removes it after 5 s', () => {
    const view = MembershipView.create({ self: createMember('a') })
    view.recordHeartbeat(createMember('b'), 0)
    assert.deepEqual(view.listServing(1999).map(({ host }) => host), ['a', 'b'])
    assert.deepEqual(view.listServing(2000).map(({ host }) => host), ['a'])
    assert.equal(view.listMembers(4999).length, 2)
    assert.equal(view.listMembers(5000).length, 1)
    view.recordHeartbeat(createMember('b'), 6000)
    view.recordConnectionRefusal('b-1')
    assert.equal(view.listServing(6001).length, 1)
  })

  // Guards against a delayed heartbeat of a former incarnation that replaces the current process by the old one.
  it('ignores heartbeats of an incarnation that a newer one replaced', () => {
    const view = MembershipView.create({ self: createMember('a') })
    view.recordHeartbeat(createMember('b', 'b-1'), 0)
    view.recordHeartbeat(createMember('b', 'b-2'), 100)
    view.recordHeartbeat(createMember('b', 'b-1'), 200)
    assert.equal(view.listMembers(200)[1]?.incarnation, 'b-2')
  })

  it('reports a change of the state of a host, so that ownership moves as soon as the host announces that it leaves', () => {
    const view = MembershipView.create({ self: createMember('a') })
    assert.equal(view.recordHeartbeat(createMember('b'), 0), true)
    assert.equal(view.recordHeartbeat(createMember('b'), 1), false)
    assert.equal(view.recordHeartbeat(createMember('b', 'b-1', 'd1', 'leaving'), 2), true)
  })
})

describe('listConfigurationSources', () => {
  // Guards against a number of store calls that grows with the number of hosts: each data centre must have only one relay.
  it('returns the same relay on every host of a data centre, and never a leaving host', () => {
    const members = [...'abcdef'].map((host, index) => createMember(host, `${host}-1`, index < 3 ? 'd1' : 'd2', host === 'a' ? 'leaving' : 'serving'))
    const relays = new Map<string, Set<string | undefined>>()
    for (const self of members) {
      const relay = listConfigurationSources(self, members)[0]?.host
      relays.set(self.dataCentre, (relays.get(self.dataCentre) ?? new Set()).add(relay))
    }
    for (const [dataCentre, names] of relays) assert.equal(names.size, 1, dataCentre)
    assert.ok(![...relays.get('d1') ?? []].includes('a'))
  })
})

describe('Drain', () => {
  it('announces the drain, stops accepting work, waits for running work, and closes', () => {
    const drain = Drain.create({ announceMs: 1000, finishMs: 5000 })
    assert.deepEqual(drain.handle({ type: 'start' }, 0), [{ type: 'announce' }])
    assert.deepEqual(drain.handle({ type: 'work', remaining: 2 }, 500), [])
    assert.deepEqual(drain.handle({ type: 'tick' }, 1000), [{ type: 'stop-accepting' }])
    assert.deepEqual(drain.handle({ type: 'work', remaining: 1 }, 2000), [])
    assert.deepEqual(drain.handle({ type: 'work', remaining: 0 }, 2100), [{ type: 'close', isComplete: true }])
  })

  // Guards against a shutdown that waits forever for a transaction that does not end.
  it('closes as incomplete when the time limit has passed', () => {
    const drain = Drain.create({ announceMs: 0, finishMs: 5000 })
    drain.handle({ type: 'start' }, 0)
    drain.handle({ type: 'work', remaining: 1 }, 0)
    assert.deepEqual(drain.handle({ type: 'tick' }, 5000), [{ type: 'close', isComplete: false }])
  })
})
