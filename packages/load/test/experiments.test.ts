import assert from 'node:assert/strict'
import { test } from 'node:test'
import { runFailoverCase } from '../src/experiments/failover/run-failover-case.js'
import type { FailoverScenario } from '../src/experiments/failover/failover-scenario.js'

const scenario: FailoverScenario = { name: 'primary is cut off', fault: 'cut-off', storeOutage: true, loseFirstHost: false }

test('in a store outage the product recovers and keeps all acknowledged writes; each baseline fails in one of the two', () => {
  const product = runFailoverCase(scenario, { name: 'p', role: 'product', promotion: 'majority', acknowledgement: 'majority' }, 1)
  assert.deepEqual([product.hasRecovered, product.falselyAcknowledged], [true, 0])
  assert.equal(runFailoverCase(scenario, { name: 's', role: 'baseline', promotion: 'store-lease', acknowledgement: 'majority' }, 1).hasRecovered, false)
  assert.ok(runFailoverCase(scenario, { name: 'a', role: 'baseline', promotion: 'majority', acknowledgement: 'primary' }, 1).falselyAcknowledged > 0)
})
