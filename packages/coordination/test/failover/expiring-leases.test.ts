import assert from 'node:assert/strict'
import { describe, test } from 'node:test'
import { CallPermit } from '../../src/failover/call-permit.js'
import { isClaimOutdated } from '../../src/failover/is-claim-outdated.js'
import { ExpiringLeases } from '../../src/failover/expiring-leases.js'
import { InFlightPromotionCalls } from '../../src/failover/in-flight-promotion-calls.js'
import type { PromotionClaim } from '../../src/failover/promotion-claim.js'
import { LeaseBarrier } from '../../src/failover/lease-barrier.js'

const LIMIT_MS = 3000
const OLD = { group: 'g', databaseId: 'old', isJoining: false }
const IN_TRANSACTION = { ...OLD, isJoining: true }
const NEW = { ...OLD, databaseId: 'new' }

function buildClaim (phase: PromotionClaim['phase'], leader?: string): PromotionClaim {
  return { host: 'h1', incarnation: 'i1', sequence: 1, phase, leader }
}

function createLeases (confirmedAt: number): ExpiringLeases {
  const leases = ExpiringLeases.create({ limitMs: LIMIT_MS })
  leases.confirm(confirmedAt)
  return leases
}

describe('ExpiringLeases', () => {
  test('grant access only while the latest confirmation is younger than the limit, counted from the time of its request', () => {
    const leases = ExpiringLeases.create({ limitMs: LIMIT_MS })
    assert.deepEqual(leases.check(OLD, 0), { type: 'refused', reason: 'unproven' })
    leases.confirm(100)
    assert.equal(leases.check(OLD, 100 + LIMIT_MS - 1).type, 'held')
    assert.deepEqual(leases.check(OLD, 100 + LIMIT_MS), { type: 'refused', reason: 'unproven' })
  })

  test('a claim ends the lease for new work; open transactions keep it until it is released or expires', () => {
    const leases = createLeases(0)
    leases.applyClaim('g', buildClaim('claimed'), 7)
    assert.deepEqual(leases.check(OLD, 10), { type: 'refused', reason: 'changing' })
    assert.equal(leases.check(IN_TRANSACTION, 10).type, 'held')
    assert.equal(leases.check(IN_TRANSACTION, LIMIT_MS).type, 'refused')
    leases.release('g', 7)
    assert.equal(leases.check(IN_TRANSACTION, 10).type, 'refused')
  })

  test('a confirmation after the claim does not extend the previous lease for open transactions', () => {
    const leases = createLeases(0)
    leases.applyClaim('g', buildClaim('claimed'), 7)
    leases.confirm(2500)
    assert.equal(leases.check(IN_TRANSACTION, LIMIT_MS).type, 'refused')
  })

  test('after a promotion only the promoted database is accepted, even when an older update arrives late', () => {
    const leases = createLeases(0)
    leases.applyClaim('g', buildClaim('ended', 'new'), 9)
    assert.equal(leases.applyClaim('g', buildClaim('ended', 'old'), 8), false)
    assert.deepEqual(leases.check(OLD, 10), { type: 'refused', reason: 'replaced' })
    assert.equal(leases.check(NEW, 10).type, 'held')
  })

  test('a suspension ends the leases until they are confirmed again', () => {
    const leases = createLeases(0)
    leases.invalidateConfirmation(10)
    assert.deepEqual(leases.check(OLD, 10), { type: 'refused', reason: 'unproven' })
    leases.confirm(9)
    assert.deepEqual(leases.check(OLD, 10), { type: 'refused', reason: 'unproven' }, 'a response to an earlier request does not confirm')
    leases.confirm(5, 20)
    assert.equal(leases.check(OLD, 30).type, 'held', 'a later update from another host confirms')
  })
})

describe('ExpiringLeases.checkResponse', () => {
  test('accepts a commit response received after the lease expired once a later confirmation shows that no host claimed the group', () => {
    const leases = createLeases(0)
    const respondedAt = LIMIT_MS + 500
    assert.equal(leases.checkResponse('g', 0, respondedAt), 'unproven')
    leases.confirm(600)
    assert.equal(leases.checkResponse('g', 0, respondedAt), 'valid')
  })

  test('reports a commit response as lost when the lease was released before, because a promotion may have happened first', () => {
    const leases = createLeases(0)
    leases.applyClaim('g', buildClaim('claimed'), 7)
    assert.equal(leases.checkResponse('g', 0, 100), 'valid')
    leases.release('g', 7)
    assert.equal(leases.checkResponse('g', 0, 100), 'lost')
    leases.applyClaim('g', buildClaim('ended', 'new'), 9)
    assert.equal(leases.checkResponse('g', 0, 100), 'lost')
  })
})

describe('a claim in a store that was restored from a copy', () => {
  const known: PromotionClaim = { ...buildClaim('ended', 'new'), sequence: 6, term: 3 }

  test('is outdated when it is missing, or written without knowledge of the known one', () => {
    assert.equal(isClaimOutdated(undefined, known), true)
    assert.equal(isClaimOutdated({ ...buildClaim('ended', 'old'), sequence: 3, term: 2 }, known), true)
    assert.equal(isClaimOutdated({ ...buildClaim('claimed', 'old'), sequence: 4, term: 2 }, known), true)
    assert.equal(isClaimOutdated(known, known), false)
  })

  test('is not outdated when its holder has called the endpoint or has promoted since', () => {
    assert.equal(isClaimOutdated({ ...buildClaim('called', 'old'), sequence: 4, term: 2 }, known), false)
    assert.equal(isClaimOutdated({ ...buildClaim('ended', 'other'), sequence: 5, term: 4 }, known), false)
  })
})

describe('promotion guards', () => {
  test('LeaseBarrier opens when all hosts have released their leases, or when the leases have expired', () => {
    const barrier = LeaseBarrier.create({ holders: ['a', 'b'], claimedAt: 1000, limitMs: LIMIT_MS })
    barrier.recordRelease('a')
    assert.equal(barrier.isOpen(1100), false)
    assert.deepEqual(barrier.unreleasedHolders, ['b'])
    assert.equal(barrier.isOpen(1000 + LIMIT_MS), false)
    assert.equal(barrier.isOpen(1000 + LIMIT_MS + 400), true)
    barrier.recordRelease('b')
    assert.equal(barrier.isOpen(1100), true)
  })

  test('LeaseBarrier waits for the leases to expire while the store may have lost the records of holders', () => {
    const barrier = LeaseBarrier.create({ holders: ['a'], areHoldersIncomplete: true, claimedAt: 1000, limitMs: LIMIT_MS })
    barrier.recordRelease('a')
    assert.equal(barrier.isOpen(1000 + LIMIT_MS), false)
    assert.equal(barrier.isOpen(1000 + LIMIT_MS + 400), true)
  })

  test('LeaseBarrier is open immediately where the databases reject work when they do not lead', () => {
    assert.equal(LeaseBarrier.create({ holders: ['a'], claimedAt: 1000, limitMs: undefined }).isOpen(1000), true)
  })

  test('InFlightPromotionCalls allows only the database of a call in flight, even if a previous claim holder made the call', () => {
    const calls = InFlightPromotionCalls.create()
    calls.recordClaim('g', { ...buildClaim('called', 'old'), successor: 'new' }, 7, 1000)
    assert.equal(calls.findInFlightDatabase('g', 8999), 'new')
    calls.recordClaim('g', buildClaim('claimed', 'old'), 8, 5000)
    assert.equal(calls.findInFlightDatabase('g', 8999), 'new')
    assert.equal(calls.findInFlightDatabase('g', 9000), undefined)
  })

  test('CallPermit is valid only for 1 s after the claim was confirmed', () => {
    const permit = CallPermit.create()
    assert.equal(permit.isValid(0), false)
    permit.recordConfirmed(100)
    assert.equal(permit.isValid(1099), true)
    assert.equal(permit.isValid(1100), false)
  })
})
