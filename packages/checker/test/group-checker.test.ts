import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { MechanismSwitches } from '../src/group/mechanism-switches.js'
import type { GroupStep } from '../src/group/group-step.js'
import { runGroupSchedule } from '../src/group/run-group-schedule.js'
import { runChecker } from '../src/run-checker.js'

const RUNS = 400

describe('promises of a group over random schedules of faults', () => {
  it('hold with all mechanisms on', () => {
    const report = runChecker({ seed: 11, runs: RUNS })
    assert.deepEqual(report.counterexample, undefined)
    assert.ok(report.acknowledged > RUNS && report.reads > RUNS, JSON.stringify(report))
  })

  // Each guards against a checker that would also pass without the mechanism.
  const cases: Array<[switches: MechanismSwitches, promise: string]> = [
    [{ acknowledgeAtPrimary: true }, 'no acknowledged write is lost'],
    [{ skipProbe: true }, 'read-your-writes'],
    [{ repeatWithoutRecord: true }, 'at most once'],
    [{ reportLostAsNotRun: true }, 'not run is true']
  ]
  for (const [switches, promise] of cases) {
    it(`fails with ${Object.keys(switches).join()} on: ${promise}`, () => {
      const report = runChecker({ seed: 11, runs: RUNS, switches })
      assert.ok(report.counterexample?.violations.some((violation) => violation.promise === promise), JSON.stringify(report))
    })
  }

  // Guards against a floor that compares positions only: the cut-off primary holds unacknowledged writes of the old term
  // at a higher position than the session's write in the new term.
  it('a read at the cut-off side needs the term of the floor', () => {
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
