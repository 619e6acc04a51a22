import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BudgetHome } from '../../src/budget/budget-home.js'
import { computePartition } from '../../src/budget/compute-partition.js'
import { Delegation } from '../../src/budget/delegation.js'
import { GrantHolder } from '../../src/budget/grant-holder.js'
import { ShareTable } from '../../src/budget/share-table.js'
import type { ShareRow, ShareTableValue } from '../../src/budget/share-table-schema.js'

const PARTITION = computePartition('o1')
const row = (host: string, incarnation = `${host}-1`): ShareRow => ({ host, incarnation, address: host })
const ask = (wanted: number) => ({ organisation: 'o1', holder: 'e', wanted, demandPerSecond: wanted })

function createHome (fraction = 1): BudgetHome {
  const home = BudgetHome.create({ incarnation: 'h' })
  home.updateLimits('o1', { rate: 100, burst: 50 }, 0)
  home.request(ask(0), 0)
  home.addDelegation({ delegator: 'a', partitions: [PARTITION], fraction, validMs: 3000, sentAt: 0 }, 0)
  return home
}

describe('BudgetHome', () => {
  it('starts empty and fills at the rate of the shares it holds', () => {
    const home = createHome(0.5)
    assert.equal(home.request(ask(10), 0).tokens, 0)
    assert.equal(home.request(ask(100), 200).tokens, 10)
  })

  // Guards against a grant that is spent by a host that dies: its tokens count until they have lapsed for certain.
  it('counts open grants against the burst until they are closed or have lapsed', () => {
    const home = createHome()
    const { grantId, tokens } = home.request(ask(100), 500)
    assert.equal(tokens, 50)
    assert.equal(home.request(ask(100), 1000).tokens, 0)
    home.returnGrant('o1', grantId, 20, 1000)
    home.returnGrant('o1', grantId, 20, 1000)
    assert.equal(home.request(ask(100), 1000).tokens, 20, 'a repeated return counts once')
  })

  // Guards against a grant that outlives the delegation that backs it.
  it('grants nothing from a delegation that lapses before the grant would', () => {
    const home = createHome()
    assert.equal(home.request(ask(1), 1949).tokens, 1)
    assert.equal(home.request(ask(1), 1951).tokens, 0)
  })

  // Guards against a delegation revived by an answer that was under way when the partition was handed over.
  it('ignores answers to requests from before a release', () => {
    const home = createHome()
    home.releasePartitions([PARTITION], 100)
    home.addDelegation({ delegator: 'b', partitions: [PARTITION], fraction: 1, validMs: 3000, sentAt: 90 }, 120)
    assert.equal(home.readFraction('o1', 130), 0)
  })

  it('applies a lower burst at once and counts what a former home has granted', () => {
    const home = createHome()
    home.updateLimits('o1', { rate: 100, burst: 10 }, 500)
    assert.equal(home.request(ask(100), 500).tokens, 10)
    const next = createHome()
    assert.equal(next.addForeignGrants([{ organisation: 'o1', tokens: 45 }], 0), true)
    assert.equal(next.request(ask(100), 1000).tokens, 5)
    assert.equal(next.addForeignGrants([{ organisation: 'unknown', tokens: 1 }], 0), false)
  })
})

describe('Delegation', () => {
  const request = (home: string, sequence: number) => ({ home, sequence, partitions: [1], isPreferred: () => true, shareValidMs: 5000 })

  // Guards against one share with two homes: the giver waits longer than the holder counts.
  it('gives a share to the next home only after the validity of the one before', () => {
    const delegation = Delegation.create()
    assert.deepEqual(delegation.delegate(request('a', 1), 0), { partitions: [1], validMs: 3000 })
    assert.deepEqual(delegation.delegate(request('b', 1), 3100).partitions, [])
    assert.deepEqual(delegation.delegate(request('b', 2), 3150).partitions, [1])
  })

  // Guards against a late release that frees what was delegated again since.
  it('ignores a release that is older than the delegation, and keeps the share for the home that was told', () => {
    const delegation = Delegation.create()
    delegation.delegate(request('a', 7), 0)
    delegation.release({ home: 'a', sequence: 6, partitions: [1] })
    assert.deepEqual(delegation.delegate(request('b', 1), 10).partitions, [])
    delegation.release({ home: 'a', sequence: 7, partitions: [1], next: 'b' })
    assert.deepEqual(delegation.delegate(request('c', 1), 20).partitions, [])
    assert.deepEqual(delegation.delegate(request('b', 1), 20).partitions, [1])
  })
})

describe('ShareTable', () => {
  const first: ShareTableValue = { generation: 1, hosts: [row('a'), row('b'), row('c')], previousHosts: [] }

  function createTable (): ShareTable {
    const table = ShareTable.create({ self: row('a') })
    table.apply(1, first, 0)
    table.recordStoreConfirmation(0)
    return table
  }

  it('lapses 5 s after the last confirmation by the store or by a majority', () => {
    const table = createTable()
    assert.equal(table.readShare(4999).fraction, 1 / 3)
    assert.equal(table.readShare(5000).fraction, 0)
    table.recordAnswer({ ...row('b'), tableVersion: 1, sentAt: 6000 }, 6010)
    assert.equal(table.readShare(10_999).fraction, 1 / 3)
  })

  // Guards against confirming a table by a host that knows a newer one.
  it('takes no confirmation from a host with a newer table', () => {
    const table = createTable()
    table.recordAnswer({ ...row('b'), tableVersion: 2, sentAt: 6000 }, 6010)
    assert.equal(table.readShare(6010).fraction, 0)
  })

  // Guards against the share of a removed host being used while that host may still use it.
  it('grows only 10 s after a majority of the former hosts knows the new table', () => {
    const table = createTable()
    table.apply(2, { generation: 2, hosts: [row('a'), row('b')], previousHosts: first.hosts }, 1000)
    const confirm = (now: number) => { table.recordStoreConfirmation(now); return table.readShare(now).fraction }
    assert.equal(confirm(30_000), 1 / 3)
    assert.equal(table.propose([row('a')], 30_000), null, 'no further change before')
    table.recordTableVersion(row('b'), 2, 30_000)
    assert.equal(confirm(39_999), 1 / 3)
    assert.equal(confirm(40_000), 1 / 2)
  })

  // Guards against a larger share used while another host already uses the part that was given up, and against giving it
  // up long before anybody can use it.
  it('keeps a larger former share until 9 s after the last confirmation of the former table', () => {
    const table = createTable()
    table.recordStoreConfirmation(1000)
    table.apply(2, { generation: 2, hosts: [...first.hosts, row('d')], previousHosts: first.hosts }, 1500)
    table.recordStoreConfirmation(6000)
    assert.deepEqual(table.readShare(6000), { fraction: 1 / 3, validMs: 4000 })
    assert.deepEqual(table.readShare(8000), { fraction: 1 / 3, validMs: 2000 })
    assert.deepEqual(table.readShare(8001), { fraction: 1 / 4, validMs: 2999 })
  })

  // Guards against a restarted host that uses a share of its former incarnation.
  it('gives nothing to a host that held no share in the generation before', () => {
    const table = ShareTable.create({ self: row('a', 'a-2') })
    table.apply(2, { generation: 2, hosts: [row('a', 'a-2'), row('b')], previousHosts: first.hosts }, 0)
    table.recordStoreConfirmation(0)
    assert.equal(table.readShare(0).fraction, 0)
    table.recordTableVersion(row('b'), 2, 0)
    table.recordStoreConfirmation(10_000)
    assert.equal(table.readShare(10_000).fraction, 1 / 2)
  })

  // Guards against the smaller side of a partition taking the larger side's shares away.
  it('drops rows only in sight of a majority', () => {
    const table = createTable()
    assert.equal(table.propose([row('a')], 20_000), null)
    assert.deepEqual(table.propose([row('a'), row('b')], 20_000)?.hosts, [row('a'), row('b')])
  })
})

describe('GrantHolder', () => {
  const take = (holder: GrantHolder, now: number): void => { holder.take('o1', now) }

  it('asks ahead of need and counts a grant from before its request was sent', () => {
    const holder = GrantHolder.create()
    take(holder, 0)
    const [request] = holder.listEffects(0)
    assert.equal(request?.type, 'request')
    holder.handleAnswer('o1', 1, { grantId: 'h/1', tokens: 5, validMs: 1000, retryAfterMs: 0 }, 900)
    assert.equal(holder.take('o1', 999), true)
    assert.equal(holder.take('o1', 1000), false)
  })

  // Guards against a doubled answer that gives tokens twice, and one that comes after the request was given up.
  it('takes one answer for each request', () => {
    const holder = GrantHolder.create()
    take(holder, 0)
    holder.listEffects(0)
    const answer = { grantId: 'h/1', tokens: 5, validMs: 1000, retryAfterMs: 0 }
    holder.handleAnswer('o1', 1, answer, 10)
    holder.handleAnswer('o1', 1, answer, 10)
    assert.equal(holder.countTokens('o1', 20), 5)
  })

  it('returns what stays unspent when nobody asks any more', () => {
    const holder = GrantHolder.create()
    take(holder, 0)
    holder.listEffects(0)
    holder.handleAnswer('o1', 1, { grantId: 'h/1', tokens: 5, validMs: 1000, retryAfterMs: 0 }, 10)
    assert.deepEqual(holder.listEffects(500), [{ type: 'return', organisation: 'o1', grantId: 'h/1', tokens: 5 }])
    assert.equal(holder.countTokens('o1', 501), 0)
  })
})
