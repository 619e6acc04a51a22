import assert from 'node:assert/strict'
import { it } from 'node:test'
import { runLeaseChecker } from '../src/leases/run-lease-checker.js'

/** Half of the schedules of a CI run. Two test files run them in parallel, because one file takes too long on a busy machine. */
const RUNS = 1000

// Guards against acknowledged writes and reads at an old primary, fencing tokens that decrease, and a group that is not served again
// after the faults have ended.
it('primary leases keep all promises under random schedules of seed 2 while an old primary keeps serving', async () => {
  const report = await runLeaseChecker({ seed: 2, runs: RUNS })
  assert.deepEqual(report.counterexample, undefined)
  assert.ok(report.promotions > RUNS / 2 && report.acknowledged > RUNS, JSON.stringify(report))
})
