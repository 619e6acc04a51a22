import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BudgetHome } from '../../src/budget/budget-home.js'
import { computePartition } from '../../src/budget/compute-partition.js'

const delegation = { delegator: 'a', partitions: [computePartition('turg')], fraction: 1, validMs: 3000 }
const request = { organisation: 'turg', holder: 'x', wanted: 40, demandPerSecond: 80 }

test('the first burst of an idle organisation is granted after the bucket had time to fill', () => {
  for (const isLimitKnownFirst of [true, false]) {
    const home = BudgetHome.create({ incarnation: 'a' })
    if (isLimitKnownFirst) home.updateLimits('turg', { rate: 100, burst: 50 }, 0)
    home.addDelegation({ ...delegation, sentAt: 0 }, 0)
    if (!isLimitKnownFirst) home.updateLimits('turg', { rate: 100, burst: 50 }, 0)
    assert.equal(home.request(request, 1000).tokens, 40)
  }
})

test('a bucket does not refill for the time before its first delegation', () => {
  const home = BudgetHome.create({ incarnation: 'a' })
  home.updateLimits('turg', { rate: 100, burst: 50 }, 0)
  home.addDelegation({ ...delegation, sentAt: 5000 }, 5000)
  assert.equal(home.request(request, 5000).tokens, 0)
})
