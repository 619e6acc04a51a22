import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { LeaseSwitches } from '../src/leases/lease-switches.js'
import { runLeaseChecker } from '../src/leases/run-lease-checker.js'

/** The absence of each mechanism must be detected within this many schedules. */
const SWITCH_RUNS = 500

describe('lease checker with one mechanism disabled', () => {
  // Each test guards against a checker that does not detect the absence of a mechanism.
  const switches: Array<keyof LeaseSwitches> = ['neverExpire', 'ignoreSuspension', 'skipBarrier', 'skipResponseCheck', 'countFromResponse', 'skipConfirmation']
  for (const name of switches) {
    it(`reports a violation with the switch ${name}`, async () => {
      const report = await runLeaseChecker({ seed: 3, runs: SWITCH_RUNS, switches: { [name]: true } })
      assert.ok(report.counterexample !== undefined, `${report.runs} schedules`)
    })
  }
})
