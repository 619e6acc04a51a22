import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { UpstreamExecuteResult } from '@tanagerusher/protocol/peer/upstream-execute'
import type { HostRecord } from '@tanagerusher/state/upstream/host-record'
import type { PeerLinks } from '../src/peer/peer-links.js'
import type { OwnerRegistry } from '../src/upstream/owner-registry.js'
import { OwnerRouter } from '../src/upstream/owner-router.js'

const record = { id: 'd', group: 'g', address: '127.0.0.1:1', dataCentre: 'n', slots: 3, isLeaving: false, claimsPrimary: true, startedAt: 0, warmupLeftMs: 0, revision: 1 }
const north = new Set(['north'])
const done: UpstreamExecuteResult = { answer: { type: 'done', proof: 'p', rows: [], position: undefined }, wasSent: true, waitMs: 0 }
const unable: UpstreamExecuteResult = { answer: { type: 'failed', failure: 'busy', text: 'unproven', position: undefined }, wasSent: false, isOwnerUnable: true, waitMs: 0 }

function buildHost (host: string, region: string): HostRecord {
  return { host, incarnation: host, address: '127.0.0.1', port: 1, dataCentre: region.slice(0, 1), region }
}

const self = buildHost('self', 'west')
const hosts = [self, ...['n1', 'n2', 'n3', 'n4', 'n5', 'n6'].map((host) => buildHost(host, 'north')), buildHost('s1', 'south'), buildHost('s2', 'south')]

/** Runs one operation and returns the hosts that received its body, in order. */
async function route (permittedRegions: ReadonlySet<string> | undefined, findResult: (host: string) => UpstreamExecuteResult | 'down'): Promise<string[]> {
  const received: string[] = []
  const run = async (host: string): Promise<UpstreamExecuteResult> => {
    received.push(host)
    return findResult(host) as UpstreamExecuteResult
  }
  const links = {
    updateHosts: () => {},
    find: ({ host }: HostRecord) => ({
      record: { host }, readDownMs: () => findResult(host) === 'down' ? 1 : 0, prepare: async () => findResult(host) !== 'down', request: async () => await run(host)
    })
  }
  const registry = { find: () => ({ execute: async () => await run('self') }) }
  const router = OwnerRouter.create({
    self, regions: new Map([['n', 'north'], ['s', 'south'], ['w', 'west']]), links: links as unknown as PeerLinks, registry: registry as unknown as OwnerRegistry, clock: { readTime: () => 0 }
  })
  router.updateHosts(hosts)
  const operation = { type: 'run', id: '1', text: 'READ x', access: 'read', transaction: 'none', isReadOnly: false } as const
  await router.execute(record, { session: 's', organisation: 'o', operation, values: [], timeLeftMs: 1000, priority: 1 }, { permittedRegions })
  return received
}

// Guards against bodies that leave the home regions when the owners there are lost.
test('when no owner in the home regions is reachable, only the host of the caller receives the operation', async () => {
  assert.deepEqual(await route(north, (host) => host.startsWith('n') ? 'down' : done), ['self'])
  assert.match((await route(undefined, (host) => host.startsWith('n') ? 'down' : done)).join(), /^(s1|s2|self)$/)
})

// Guards against an operation that stays with the lost owner, or skips the reachable ones of the home regions.
test('the next reachable owner in the home regions replaces a lost one', async () => {
  const [owner] = await route(north, () => done)
  const [next] = await route(north, (host) => host === owner ? 'down' : done)
  assert.ok(owner?.startsWith('n') === true && next?.startsWith('n') === true && next !== owner)
})

// Guards against a refusal while the host of the caller has the confirmation that the owners in the home regions lack.
test('the host of the caller is tried after owners in the home regions that are unable', async () => {
  const received = await route(north, (host) => host === 'self' ? done : unable)
  assert.equal(received.at(-1), 'self')
  assert.ok(received.slice(0, -1).every((host) => host.startsWith('n')))
})

// Guards against an operation that takes longer than its time because each link to an owner is awaited for its own time limit.
test('links to owners are awaited only until the deadline of the operation, which is then refused as not run', async () => {
  let now = 0
  const waits: number[] = []
  const links = {
    updateHosts: () => {},
    find: ({ host }: HostRecord) => ({ record: { host }, readDownMs: () => 0, prepare: async (timeLeftMs: number) => { waits.push(timeLeftMs); now += 300; return now >= 600 }, request: assert.fail })
  }
  const router = OwnerRouter.create({
    self, regions: new Map([['n', 'north'], ['s', 'south'], ['w', 'west']]), links: links as unknown as PeerLinks, registry: { find: assert.fail } as unknown as OwnerRegistry, clock: { readTime: () => now }
  })
  router.updateHosts(hosts)
  const operation = { type: 'run', id: '1', text: 'WRITE x', access: 'write', transaction: 'none', isReadOnly: false } as const
  const { result: { answer, wasSent } } = await router.execute(record, { session: 's', organisation: 'o', operation, values: [], timeLeftMs: 500, priority: 1 }, {})
  assert.deepEqual(waits, [500, 200])
  assert.deepEqual([answer.type === 'failed' && answer.failure, wasSent], ['busy', false])
})
