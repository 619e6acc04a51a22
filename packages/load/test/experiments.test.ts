import assert from 'node:assert/strict'
import { test } from 'node:test'
import { runFailoverCase } from '../src/experiments/failover/run-failover-case.js'
import type { FailoverScenario } from '../src/experiments/failover/failover-scenario.js'

const scenario: FailoverScenario = { name: 'primary is cut off', fault: 'cut-off', storeOutage: true, loseFirstHost: false }

test('the product promotes in a store outage and loses no acknowledged write; each baseline shows its fault', () => {
  const product = runFailoverCase(scenario, { name: 'p', role: 'product', promotion: 'majority', acknowledgement: 'majority' }, 1)
  assert.deepEqual([product.recovered, product.falselyAcknowledged], [true, 0])
  assert.equal(runFailoverCase(scenario, { name: 's', role: 'baseline', promotion: 'store-lease', acknowledgement: 'majority' }, 1).recovered, false)
  assert.ok(runFailoverCase(scenario, { name: 'a', role: 'baseline', promotion: 'majority', acknowledgement: 'primary' }, 1).falselyAcknowledged > 0)
})
