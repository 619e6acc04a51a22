import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { StoreObject } from '@tanagerusher/coordination/common/store-object'
import type { ObjectStore, StoreResult } from '@tanagerusher/coordination/common/object-store'
import { ClaimTakeoverPolicy } from '@tanagerusher/coordination/failover/claim-takeover-policy'
import type { PromotionClaim } from '@tanagerusher/coordination/failover/promotion-claim'
import { ClaimHolder } from '../src/failover/claim-holder.js'

const SELF = { host: 'h1', incarnation: 'i1', address: '127.0.0.1', port: 1, dataCentre: 'a', region: 'r' }

test('a claim that the store lost before it responded is written again instead of being counted as written', async () => {
  const results: Array<StoreResult<StoreObject>> = [{ type: 'no-answer', reason: 'lost' }, { type: 'ok', value: { name: 'group.g', revision: 50, value: {} } }]
  let known: PromotionClaim | undefined
  const store = {
    list: async () => ({ type: 'ok', value: { revision: 40, objects: [] } }),
    create: async (_kind: string, _name: string, value: unknown) => {
      known = value as PromotionClaim // a relay received the claim before the store lost it
      return results.shift()
    }
  } as unknown as ObjectStore
  const holder = ClaimHolder.create({
    group: 'g',
    self: SELF,
    store,
    takeoverPolicy: ClaimTakeoverPolicy.create(SELF.incarnation),
    inFlightCalls: undefined,
    findKnownClaim: () => known,
    clock: { readTime: () => performance.now() },
    logger: { info: () => {}, warn: () => {} } as never
  })
  assert.notEqual(await holder.acquire(undefined), undefined)
  assert.equal(holder.revision, 50)
})
