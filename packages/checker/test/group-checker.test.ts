import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { MechanismSwitches } from '../src/group/mechanism-switches.js'
import type { GroupStep } from '../src/group/group-step.js'
import { runGroupSchedule } from '../src/group/run-group-schedule.js'
import { runChecker } from '../src/run-checker.js'

const RUNS = 400

describe('promises of a group under random schedules of faults', () => {
  it('are kept when all mechanisms are enabled', () => {
    const report = runChecker({ seed: 11, runs: RUNS })
    assert.deepEqual(report.counterexample, undefined)
    assert.ok(report.acknowledged > RUNS && report.reads > RUNS, JSON.stringify(report))
  })

  // Each test guards against a checker that does not detect the absence of a mechanism.
  const cases: Array<[switches: MechanismSwitches, promise: string]> = [
    [{ acknowledgeAtPrimary: true }, 'no acknowledged write is lost'],
    [{ skipProbe: true }, 'read-your-writes'],
    [{ repeatWithoutRecord: true }, 'at most once'],
    [{ reportLostAsNotRun: true }, 'not run is true']
  ]
  for (const [switches, promise] of cases) {
    it(`detects that the switch ${Object.keys(switches).join()} breaks the promise: ${promise}`, () => {
      const report = runChecker({ seed: 11, runs: RUNS, switches })
      assert.ok(report.counterexample?.violations.some((violation) => violation.promise === promise), JSON.stringify(report))
    })
  }

  // Guards against floors that are compared by position only. A primary that is cut off has unacknowledged writes of the old term
  // at higher positions than the session's write in the new term, so it would serve a read that misses that write.
  it('a primary that is cut off does not serve a read whose floor has a newer term', () => {
    const write = (host: number, session: number, delayMs: number): GroupStep => ({ type: 'write', delayMs, host, session })
    const steps: GroupStep[] = [
      { type: 'cut-side', delayMs: 500, host: 0, member: 0 },
      ...Array.from({ length: 6 }, () => write(0, 0, 50)),
      write(1, 1, 4000),
      { type: 'read', delayMs: 1000, host: 0, session: 1, withToken: true }
    ]
    assert.deepEqual(runGroupSchedule({ seed: 1, steps }).violations, [])
    const broken = runGroupSchedule({ seed: 1, steps, switches: { ignoreFloorTerm: true } })
    assert.deepEqual(broken.violations.map(({ promise }) => promise), ['read-your-writes'])
  })
})
