import assert from 'node:assert/strict'
import { it } from 'node:test'
import { runLeaseChecker } from '../src/leases/run-lease-checker.js'

const RUNS = 300
/** The absence of the mechanism must be detected within this many schedules. */
const SWITCH_RUNS = 500

// Guards against a replaced primary that is used again, and fencing tokens that decrease, after the store came back from an older copy.
it('primary leases keep all promises under random schedules of seed 1 while the store is also restored from copies', async () => {
  const report = await runLeaseChecker({ seed: 1, runs: RUNS, hasRestores: true })
  assert.deepEqual(report.counterexample, undefined)
  assert.ok(report.promotions > RUNS / 4 && report.acknowledged > RUNS, JSON.stringify(report))
})

// Guards against a checker that does not detect the absence of the mechanism.
it('the lease checker with restores reports a violation with the switch skipClaimRestore', async () => {
  const report = await runLeaseChecker({ seed: 3, runs: SWITCH_RUNS, hasRestores: true, switches: { skipClaimRestore: true } })
  assert.ok(report.counterexample !== undefined, `${report.runs} schedules`)
})
