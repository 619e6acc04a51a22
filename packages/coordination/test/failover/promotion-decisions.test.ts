import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import { chooseSuccessor } from '../../src/failover/choose-successor.js'
import { ClaimQueue } from '../../src/failover/claim-queue.js'
import type { PromotionClaim } from '../../src/failover/promotion-claim.js'
import { LeaderView } from '../../src/failover/leader-view.js'

function buildRecord (id: string, claimsPrimary: boolean, revision = 1): UpstreamRecord {
  return { id, group: 'g', address: '127.0.0.1:1', dataCentre: 'a', slots: 3, isLeaving: false, claimsPrimary, startedAt: 0, revision }
}

function buildCandidate (id: string, position: number | undefined, dataCentre = 'a') {
  return { id, dataCentre, status: position === undefined ? undefined : { isPrimary: false, term: 1, position: { term: 1, position } } }
}

test('the replica that received most takes over, the nearest among equals', () => {
  const candidates = [buildCandidate('far', 10, 'b'), buildCandidate('near', 10), buildCandidate('behind', 9)]
  const successor = chooseSuccessor({ candidates, syncReplicas: 0, leaderDataCentre: 'a' })
  assert.equal(successor.type === 'chosen' && successor.candidate.id, 'near')
})

test('where replicas acknowledge commits, a silent one may hold the only copy: nobody is promoted', () => {
  const candidates = [buildCandidate('one', 10), buildCandidate('silent', undefined)]
  assert.equal(chooseSuccessor({ candidates, syncReplicas: 1, leaderDataCentre: 'a' }).type, 'none')
  assert.equal(chooseSuccessor({ candidates, syncReplicas: 0, leaderDataCentre: 'a' }).type, 'chosen')
})

test("another host's claim is left alone until it ended or was untouched for 3 s, so that holders do not take turns", () => {
  const queue = ClaimQueue.create('me')
  const claim: PromotionClaim = { host: 'h2', incarnation: 'other', sequence: 1, phase: 'claimed' }
  assert.equal(queue.mayClaim('g', claim, 5, 0), false)
  assert.equal(queue.mayClaim('g', claim, 5, 2900), false)
  assert.equal(queue.mayClaim('g', claim, 6, 3100), false)
  assert.equal(queue.mayClaim('g', claim, 6, 6100), true)
  assert.equal(queue.mayClaim('g', { ...claim, phase: 'ended' }, 7, 6200), true)
})

test('a proven leader goes before what an old primary still says of itself', () => {
  const view = LeaderView.create({ isAppointmentBinding: false })
  const records = [buildRecord('old', true, 9), buildRecord('new', false, 3)]
  assert.equal(view.findLeader('g', records)?.id, 'old')
  view.recordProof('g', 'new', 2)
  assert.equal(view.findLeader('g', records)?.id, 'new')
  view.recordProof('g', 'old', 1)
  assert.equal(view.findLeader('g', records)?.id, 'new')
})

test('a database that answered that it does not lead is not asked again until its record changes', () => {
  const view = LeaderView.create({ isAppointmentBinding: false })
  view.recordRefusal(buildRecord('old', true, 9))
  assert.equal(view.findLeader('g', [buildRecord('old', true, 9)]), undefined)
  assert.equal(view.findLeader('g', [buildRecord('old', true, 12)])?.id, 'old')
})

// Guards against a failover that never comes: the old primary goes on, still claims to lead, and the new one is gone.
test('where an old primary goes on, its claim to lead says nothing after a promotion', () => {
  const view = LeaderView.create({ isAppointmentBinding: true })
  const old = buildRecord('old', true, 9)
  assert.equal(view.findLeader('g', [old])?.id, 'old')
  view.recordAppointment('g', 'new', 2)
  assert.equal(view.findLeader('g', [old, buildRecord('new', false, 3)])?.id, 'new')
  assert.equal(view.findLeader('g', [old]), undefined)
  view.recordRefusal(buildRecord('new', false, 3))
  assert.equal(view.findLeader('g', [old, buildRecord('new', false, 3)]), undefined)
})
