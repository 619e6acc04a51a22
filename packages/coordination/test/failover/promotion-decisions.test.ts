import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import { chooseSuccessor } from '../../src/failover/choose-successor.js'
import { ClaimTakeoverPolicy } from '../../src/failover/claim-takeover-policy.js'
import type { PromotionClaim } from '../../src/failover/promotion-claim.js'
import { listCommitHolders } from '../../src/failover/list-commit-holders.js'
import { LeaderView } from '../../src/failover/leader-view.js'

function buildRecord (id: string, claimsPrimary: boolean, revision = 1): UpstreamRecord {
  return { id, group: 'g', address: '127.0.0.1:1', dataCentre: 'a', slots: 3, isLeaving: false, claimsPrimary, startedAt: 0, warmupLeftMs: 0, revision }
}

function buildCandidate (id: string, position: number | undefined, dataCentre = 'a') {
  return { id, dataCentre, status: position === undefined ? undefined : { isPrimary: false, term: 1, position: { term: 1, position } } }
}

test('chooses the replica with the highest position, among equal ones that in the data centre of the old primary', () => {
  const candidates = [buildCandidate('far', 10, 'b'), buildCandidate('near', 10), buildCandidate('behind', 9)]
  const successor = chooseSuccessor({ candidates, syncReplicas: 0, leaderDataCentre: 'a' })
  assert.equal(successor.type === 'chosen' && successor.candidate.id, 'near')
})

// Guards against a primary that has to serve all writes while its requests are limited, although another database has the same commits.
test('prefers a warm replica among equal positions, and a cold one to the loss of a commit', () => {
  const cold = { ...buildCandidate('cold', 10), isCold: true }
  const choose = (candidates: Array<typeof cold | ReturnType<typeof buildCandidate>>): string | false => {
    const successor = chooseSuccessor({ candidates, syncReplicas: 0, leaderDataCentre: 'a' })
    return successor.type === 'chosen' && successor.candidate.id
  }
  assert.equal(choose([cold, buildCandidate('warm', 10, 'b')]), 'warm')
  assert.equal(choose([cold, buildCandidate('warm', 9, 'b')]), 'cold')
})

test('chooses no successor when replicas acknowledge commits and an unresponsive one may hold the only copy', () => {
  const candidates = [buildCandidate('one', 10), buildCandidate('unresponsive', undefined)]
  assert.equal(chooseSuccessor({ candidates, syncReplicas: 1, leaderDataCentre: 'a' }).type, 'none')
  assert.equal(chooseSuccessor({ candidates, syncReplicas: 0, leaderDataCentre: 'a' }).type, 'chosen')
})

// Guards against the loss of commits that only a leaving replica has received, and against a group without a primary because it ended.
test('chooses a leaving replica only for its position, and stops waiting for it after a limit', () => {
  const leaving = (position: number | undefined, isAwaited = true) => ({ ...buildCandidate('leaving', position), isLeaving: true, isAwaited })
  const choose = (holder: ReturnType<typeof leaving>): string | false => {
    const successor = chooseSuccessor({ candidates: [holder, { ...buildCandidate('stays', 9, 'b'), isLeaving: false, isAwaited: true }], syncReplicas: 1, leaderDataCentre: 'a' })
    return successor.type === 'chosen' && successor.candidate.id
  }
  assert.equal(choose(leaving(10)), 'leaving')
  assert.equal(choose(leaving(9)), 'stays')
  assert.equal(choose(leaving(undefined)), false)
  assert.equal(choose(leaving(undefined, false)), 'stays')
})

test('databases that leave or are missing from the directory are asked for their commits, and awaited for 5 s', () => {
  const ready = { ...buildRecord('ready', false), address: '127.0.0.1:2' }
  const leaving = { ...buildRecord('leaving', false), address: '127.0.0.1:3', isLeaving: true }
  const missing = { ...buildRecord('missing', false), address: '127.0.0.1:4' }
  const replaced = { ...buildRecord('replaced', false), address: ready.address }
  const formerPrimary = { ...buildRecord('former', true), address: '127.0.0.1:5' }
  const primary = buildRecord('primary', true)
  const departed = [missing, replaced, formerPrimary].map((record) => ({ record, leftAt: 1000 }))
  const list = (now: number) => listCommitHolders({ records: [primary, ready, leaving], departed, candidates: [ready], leaderId: 'primary', searchStartedAt: 2000, now }).map(({ record, isAwaited }) => [record.id, isAwaited])
  assert.deepEqual(list(3000), [['leaving', true], ['missing', true]])
  assert.deepEqual(list(6500), [['leaving', true], ['missing', false]])
  assert.deepEqual(list(7500), [['leaving', false], ['missing', false]])
})

test("respects another host's claim until it has ended or has not changed for 3 s, so that hosts do not replace each other's claims", () => {
  const policy = ClaimTakeoverPolicy.create('me')
  const claim: PromotionClaim = { host: 'h2', incarnation: 'other', sequence: 1, phase: 'claimed' }
  assert.equal(policy.isClaimable('g', claim, 5, 0), false)
  assert.equal(policy.isClaimable('g', claim, 5, 2900), false)
  assert.equal(policy.isClaimable('g', claim, 6, 3100), false)
  assert.equal(policy.isClaimable('g', claim, 6, 6100), true)
  assert.equal(policy.isClaimable('g', { ...claim, phase: 'ended' }, 7, 6200), true)
})

test('prefers a confirmed leader to an old primary that still reports itself as primary', () => {
  const view = LeaderView.create({ isAppointmentBinding: false })
  const records = [buildRecord('old', true, 9), buildRecord('new', false, 3)]
  assert.equal(view.findLeader('g', records)?.id, 'old')
  view.recordConfirmation('g', 'new', 2)
  assert.equal(view.findLeader('g', records)?.id, 'new')
  view.recordConfirmation('g', 'old', 1)
  assert.equal(view.findLeader('g', records)?.id, 'new')
})

test('does not choose a database that refused to lead until its record changes', () => {
  const view = LeaderView.create({ isAppointmentBinding: false })
  view.recordRefusal(buildRecord('old', true, 9))
  assert.equal(view.findLeader('g', [buildRecord('old', true, 9)]), undefined)
  assert.equal(view.findLeader('g', [buildRecord('old', true, 12)])?.id, 'old')
})

// Guards against a missing failover when the new primary is lost while the old one keeps serving and still reports itself as primary.
test('ignores the reported role of an old primary that keeps serving after a promotion', () => {
  const view = LeaderView.create({ isAppointmentBinding: true })
  const old = buildRecord('old', true, 9)
  assert.equal(view.findLeader('g', [old])?.id, 'old')
  view.recordAppointment('g', 'new', 2)
  assert.equal(view.findLeader('g', [old, buildRecord('new', false, 3)])?.id, 'new')
  assert.equal(view.findLeader('g', [old]), undefined)
  view.recordRefusal(buildRecord('new', false, 3))
  assert.equal(view.findLeader('g', [old, buildRecord('new', false, 3)]), undefined)
})
