import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BudgetHome } from '../../src/budget/budget-home.js'
import { computePartition } from '../../src/budget/compute-partition.js'
import { ShareDelegator } from '../../src/budget/share-delegator.js'
import { GrantHolder } from '../../src/budget/grant-holder.js'
import { ShareTable } from '../../src/budget/share-table.js'
import type { ShareRow, ShareTableValue } from '../../src/budget/share-table-schema.js'

const PARTITION = computePartition('o1')
const createRow = (host: string, incarnation = `${host}-1`): ShareRow => ({ host, incarnation, address: host })
const createTokenRequest = (wanted: number) => ({ organisation: 'o1', holder: 'e', wanted, demandPerSecond: wanted })

function createHome (fraction = 1): BudgetHome {
  const home = BudgetHome.create({ incarnation: 'h' })
  home.updateLimits('o1', { rate: 100, burst: 50 }, 0)
  home.request(createTokenRequest(0), 0)
  home.addDelegation({ delegator: 'a', partitions: [PARTITION], fraction, validMs: 3000, sentAt: 0 }, 0)
  return home
}

describe('BudgetHome', () => {
  it('starts empty and refills at the rate of the shares that it holds', () => {
    const home = createHome(0.5)
    assert.equal(home.request(createTokenRequest(10), 0).tokens, 0)
    assert.equal(home.request(createTokenRequest(100), 200).tokens, 10)
  })

  // Guards against granting tokens again while a failed host may still spend them: an open grant counts until it has certainly expired.
  it('counts open grants against the burst until they are closed or have expired', () => {
    const home = createHome()
    const { grantId, tokens } = home.request(createTokenRequest(100), 500)
    assert.equal(tokens, 50)
    assert.equal(home.request(createTokenRequest(100), 1000).tokens, 0)
    home.returnGrant('o1', grantId, 20, 1000)
    home.returnGrant('o1', grantId, 20, 1000)
    assert.equal(home.request(createTokenRequest(100), 1000).tokens, 20, 'repeated return must count once')
  })

  // Guards against a grant that expires later than the delegation that backs it.
  it('grants no tokens from a delegation that expires before the grant would', () => {
    const home = createHome()
    assert.equal(home.request(createTokenRequest(1), 1949).tokens, 1)
    assert.equal(home.request(createTokenRequest(1), 1951).tokens, 0)
  })

  // Guards against restoring a delegation from a response that was in flight when the partition was handed over.
  it('ignores responses to requests that were sent before a release', () => {
    const home = createHome()
    home.releasePartitions([PARTITION], 100)
    home.addDelegation({ delegator: 'b', partitions: [PARTITION], fraction: 1, validMs: 3000, sentAt: 90 }, 120)
    assert.equal(home.readFraction('o1', 130), 0)
  })

  it('applies a lower burst immediately and counts the open grants of the previous home', () => {
    const home = createHome()
    home.updateLimits('o1', { rate: 100, burst: 10 }, 500)
    assert.equal(home.request(createTokenRequest(100), 500).tokens, 10)
    const next = createHome()
    assert.equal(next.addPreviousHomeGrants([{ organisation: 'o1', tokens: 45 }], 0), true)
    assert.equal(next.request(createTokenRequest(100), 1000).tokens, 5)
    assert.equal(next.addPreviousHomeGrants([{ organisation: 'unknown', tokens: 1 }], 0), false)
  })
})

describe('ShareDelegator', () => {
  const request = (home: string, sequence: number) => ({ home, sequence, partitions: [1], isPreferred: () => true, shareValidMs: 5000 })

  // Guards against one share with two homes: the delegating host waits for the clock margin beyond the validity on the home's clock.
  it('delegates a share to the next home only after the previous delegation has expired', () => {
    const delegation = ShareDelegator.create()
    assert.deepEqual(delegation.delegate(request('a', 1), 0), { partitions: [1], validMs: 3000 })
    assert.deepEqual(delegation.delegate(request('b', 1), 3100).partitions, [])
    assert.deepEqual(delegation.delegate(request('b', 2), 3150).partitions, [1])
  })

  // Guards against a late release that frees a share which was delegated again after the release was sent.
  it('ignores a release that is older than the delegation, and reserves the share for the next home named in a release', () => {
    const delegation = ShareDelegator.create()
    delegation.delegate(request('a', 7), 0)
    delegation.release({ home: 'a', sequence: 6, partitions: [1] })
    assert.deepEqual(delegation.delegate(request('b', 1), 10).partitions, [])
    delegation.release({ home: 'a', sequence: 7, partitions: [1], next: 'b' })
    assert.deepEqual(delegation.delegate(request('c', 1), 20).partitions, [])
    assert.deepEqual(delegation.delegate(request('b', 1), 20).partitions, [1])
  })
})

describe('ShareTable', () => {
  const first: ShareTableValue = { generation: 1, hosts: [createRow('a'), createRow('b'), createRow('c')], previousHosts: [] }

  function createTable (): ShareTable {
    const table = ShareTable.create({ self: createRow('a') })
    table.apply(1, first, 0)
    table.recordStoreConfirmation(0)
    return table
  }

  it('expires 5 s after the last confirmation by the store or by a majority', () => {
    const table = createTable()
    assert.equal(table.readShare(4999).fraction, 1 / 3)
    assert.equal(table.readShare(5000).fraction, 0)
    table.recordHeartbeatResponse({ ...createRow('b'), tableVersion: 1, sentAt: 6000 }, 6010)
    assert.equal(table.readShare(10_999).fraction, 1 / 3)
  })

  // Guards against counting a host with a newer table as a confirmation of the older one.
  it('does not count a response from a host with a newer table as a confirmation', () => {
    const table = createTable()
    table.recordHeartbeatResponse({ ...createRow('b'), tableVersion: 2, sentAt: 6000 }, 6010)
    assert.equal(table.readShare(6010).fraction, 0)
  })

  // Guards against using the share of a removed host while that host may still use it.
  it('grows only 10 s after a majority of the previous hosts has the new table', () => {
    const table = createTable()
    table.apply(2, { generation: 2, hosts: [createRow('a'), createRow('b')], previousHosts: first.hosts }, 1000)
    const confirm = (now: number) => { table.recordStoreConfirmation(now); return table.readShare(now).fraction }
    assert.equal(confirm(30_000), 1 / 3)
    assert.equal(table.propose([createRow('a')], 30_000), null, 'no further change before a majority has the table')
    table.recordTableVersion(createRow('b'), 2, 30_000)
    assert.equal(confirm(39_999), 1 / 3)
    assert.equal(confirm(40_000), 1 / 2)
  })

  // Guards against using a larger share while another host already uses the difference, and against reducing the share long
  // before any other host may use the difference.
  it('keeps a larger previous share until 9 s after the last confirmation of the previous table', () => {
    const table = createTable()
    table.recordStoreConfirmation(1000)
    table.apply(2, { generation: 2, hosts: [...first.hosts, createRow('d')], previousHosts: first.hosts }, 1500)
    table.recordStoreConfirmation(6000)
    assert.deepEqual(table.readShare(6000), { fraction: 1 / 3, validMs: 4000 })
    assert.deepEqual(table.readShare(8000), { fraction: 1 / 3, validMs: 2000 })
    assert.deepEqual(table.readShare(8001), { fraction: 1 / 4, validMs: 2999 })
  })

  // Guards against a restarted host that uses the share of its previous incarnation.
  it('gives no share to a host without a share in the previous generation until the growth wait has elapsed', () => {
    const table = ShareTable.create({ self: createRow('a', 'a-2') })
    table.apply(2, { generation: 2, hosts: [createRow('a', 'a-2'), createRow('b')], previousHosts: first.hosts }, 0)
    table.recordStoreConfirmation(0)
    assert.equal(table.readShare(0).fraction, 0)
    table.recordTableVersion(createRow('b'), 2, 0)
    table.recordStoreConfirmation(10_000)
    assert.equal(table.readShare(10_000).fraction, 1 / 2)
  })

  // Guards against the smaller side of a network partition removing the shares of the larger side.
  it('removes rows only while a majority of the table is reachable', () => {
    const table = createTable()
    assert.equal(table.propose([createRow('a')], 20_000), null)
    assert.deepEqual(table.propose([createRow('a'), createRow('b')], 20_000)?.hosts, [createRow('a'), createRow('b')])
  })
})

describe('GrantHolder', () => {
  const take = (holder: GrantHolder, now: number): void => { holder.take('o1', now) }

  it('requests tokens ahead of demand and counts the validity of a grant from the time its request was sent', () => {
    const holder = GrantHolder.create()
    take(holder, 0)
    const [request] = holder.listEffects(0)
    assert.equal(request?.type, 'request')
    holder.handleResponse('o1', 1, { grantId: 'h/1', tokens: 5, validMs: 1000, retryAfterMs: 0 }, 900)
    assert.equal(holder.take('o1', 999), true)
    assert.equal(holder.take('o1', 1000), false)
  })

  // Guards against a duplicated response that adds tokens twice, and a response that arrives after its request timed out.
  it('accepts one response for each request', () => {
    const holder = GrantHolder.create()
    take(holder, 0)
    holder.listEffects(0)
    const response = { grantId: 'h/1', tokens: 5, validMs: 1000, retryAfterMs: 0 }
    holder.handleResponse('o1', 1, response, 10)
    holder.handleResponse('o1', 1, response, 10)
    assert.equal(holder.countTokens('o1', 20), 5)
  })

  it('returns unspent tokens when requests have stopped', () => {
    const holder = GrantHolder.create()
    take(holder, 0)
    holder.listEffects(0)
    holder.handleResponse('o1', 1, { grantId: 'h/1', tokens: 5, validMs: 1000, retryAfterMs: 0 }, 10)
    assert.deepEqual(holder.listEffects(500), [{ type: 'return', organisation: 'o1', grantId: 'h/1', tokens: 5 }])
    assert.equal(holder.countTokens('o1', 501), 0)
  })
})
