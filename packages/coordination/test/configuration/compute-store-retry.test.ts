import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeStoreRetry } from '../../src/configuration/compute-store-retry.js'

const OUTAGE_MS = 9000

/** Calls that one host makes during an outage in which each call fails at once. */
function countCalls (isRelay: boolean, hosts: number): number {
  let calls = 0
  for (let now = 0; now < OUTAGE_MS; now += computeStoreRetry({ failures: calls, isRelay, hosts })) calls++
  return calls
}

test('an outage of the store costs a fleet of 59 hosts less than half of the calls that its hosts would make alone', () => {
  const alone = 59 * countCalls(false, 8)
  const fleet = 2 * countCalls(true, 59) + 57 * countCalls(false, 59)
  assert.ok(fleet < alone / 2, `${fleet} calls, ${alone} alone`)
})

test('relays and small fleets find the return of the store within a second', () => {
  for (const failures of [1, 5, 100]) {
    assert.ok(computeStoreRetry({ failures, isRelay: true, hosts: 2200 }) <= 1000)
    assert.ok(computeStoreRetry({ failures, isRelay: false, hosts: 8 }) <= 1000)
  }
})

test('no host waits longer than the time that a withdrawn key may work', () => {
  assert.ok(computeStoreRetry({ failures: 100, isRelay: false, hosts: 2200 }) < 5000)
})
