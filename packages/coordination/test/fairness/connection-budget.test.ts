import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionBudget } from '../../src/fairness/connection-budget.js'

const none = { busy: 0, idle: 0, opening: 0, closing: 0 }

describe('ConnectionBudget', () => {
  // Guards against opening a connection for every waiting request and closing it again as surplus.
  it('keeps one connection more than slots open, and neither opens nor closes any when all are busy', () => {
    const budget = ConnectionBudget.create({ limit: 20, slots: 3 })
    assert.equal(budget.computeOpenings(none, 0), 4)
    for (const busy of [0, 3, 4]) {
      assert.equal(budget.computeOpenings({ ...none, busy, idle: 4 - busy }, 0), 0)
      assert.equal(budget.isSurplus({ ...none, busy, idle: 4 - busy }), false)
    }
    assert.equal(budget.computeOpenings({ ...none, busy: 2, opening: 1 }, 0), 1)
  })

  it('leaves part of the limit to other owners and counts connections that are still closing', () => {
    const budget = ConnectionBudget.create({ limit: 10, slots: 10 })
    assert.equal(budget.computeOpenings(none, 0), 7)
    assert.equal(budget.computeOpenings({ ...none, busy: 3, closing: 3 }, 0), 1)
  })

  it('increases the delay after each failed attempt and opens one connection at a time until one succeeds', () => {
    const budget = ConnectionBudget.create({ limit: 20, slots: 3 })
    budget.recordFailure(0)
    assert.equal(budget.computeOpenings(none, 49), 0)
    assert.equal(budget.computeOpenings(none, 50), 1)
    budget.recordFailure(50)
    assert.equal(budget.computeOpenings(none, 149), 0)
    budget.recordOpened()
    assert.equal(budget.computeOpenings({ ...none, idle: 1 }, 149), 3)
  })
})
