import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RightsSwitches } from '../src/rights/rights-switches.js'
import { runRightsChecker } from '../src/rights/run-rights-checker.js'

/** Each mechanism must be missed within this many schedules. */
const SWITCH_RUNS = 500

describe('the right to use a primary that goes on after its replacement, without one of its mechanisms', () => {
  // Each guards against a checker that would also pass without the mechanism.
  const switches: Array<keyof RightsSwitches> = ['neverExpire', 'ignoreSuspension', 'skipBarrier', 'skipAnswerCheck', 'countFromAnswer', 'skipConfirmation']
  for (const name of switches) {
    it(`fails with ${name}`, async () => {
      const report = await runRightsChecker({ seed: 3, runs: SWITCH_RUNS, switches: { [name]: true } })
      assert.ok(report.counterexample !== undefined, `${report.runs} schedules`)
    })
  }
})
