import assert from 'node:assert/strict'
import { it } from 'node:test'
import { runRightsChecker } from '../src/rights/run-rights-checker.js'

/** Half of the schedules of a CI run; two files play them side by side, since one takes too long on a busy machine. */
const RUNS = 1000

// Guards against acknowledged writes and reads at an old primary, tokens that fall, and a group that nobody serves again.
it('the right to use a primary that goes on holds over random schedules of seed 2', async () => {
  const report = await runRightsChecker({ seed: 2, runs: RUNS })
  assert.deepEqual(report.counterexample, undefined)
  assert.ok(report.promotions > RUNS / 2 && report.acknowledged > RUNS, JSON.stringify(report))
})
