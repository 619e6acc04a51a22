import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeStoreRetryDelay } from '../../src/configuration/compute-store-retry-delay.js'

const OUTAGE_MS = 9000

/** Number of calls that one host makes during an outage in which each call fails immediately. */
function countCalls (isRelay: boolean, hosts: number): number {
  let calls = 0
  for (let now = 0; now < OUTAGE_MS; now += computeStoreRetryDelay({ failures: calls, isRelay, hosts })) calls++
  return calls
}

test('during a store outage a fleet of 59 hosts makes less than half of the calls that 59 hosts of small fleets would make', () => {
  const independent = 59 * countCalls(false, 8)
  const fleet = 2 * countCalls(true, 59) + 57 * countCalls(false, 59)
  assert.ok(fleet < independent / 2, `${fleet} calls, ${independent} by independent hosts`)
})

test('relays and hosts of small fleets retry the store within a second', () => {
  for (const failures of [1, 5, 100]) {
    assert.ok(computeStoreRetryDelay({ failures, isRelay: true, hosts: 2200 }) <= 1000)
    assert.ok(computeStoreRetryDelay({ failures, isRelay: false, hosts: 8 }) <= 1000)
  }
})

test('no host waits 5 s or longer, so that it reconnects before a withdrawn key must stop working', () => {
  assert.ok(computeStoreRetryDelay({ failures: 100, isRelay: false, hosts: 2200 }) < 5000)
})
