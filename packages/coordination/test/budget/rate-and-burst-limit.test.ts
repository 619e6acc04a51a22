import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { BudgetFleet, type Fault } from '../fixtures/budget-fleet.js'
import { findExcess } from '../fixtures/find-excess.js'

const RATE = 100
const BURST = 50
/** The hosts have the first share table by this time. */
const FIRST_TABLE_BY_MS = 5000
const DURATION_MS = 60_000
/** The clocks of the simulated hosts run up to 1% fast, so a bucket may refill up to 1% faster than in real time. */
const FAST_RATE = RATE * 1.01
const SEED = Number(process.env.SEED ?? 20261204)
const RUNS = Number(process.env.RUNS ?? 60)

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  at: fc.integer({ min: 2000, max: 50_000 }),
  type: fc.constantFrom<Fault['type']>('crash', 'pause', 'cut-off', 'store-down', 'lossy', 'entry-crash', 'limits', 'leave'),
  host: fc.integer({ min: 0, max: 4 }),
  durationMs: fc.oneof(fc.integer({ min: 10, max: 3000 }), fc.integer({ min: 3000, max: 25_000 }))
})

interface Phase { durationMs: number, perSecond: number, hosts: number }

/**
 * Load of the callers in repeating phases. Phases of low load let the buckets fill, so that a following burst exercises the
 * whole limit. Without them, a permanent overload keeps every bucket empty and hides an excess of up to the burst.
 */
const phasesArbitrary: fc.Arbitrary<Phase[]> = fc.array(fc.record({
  durationMs: fc.oneof(fc.integer({ min: 50, max: 700 }), fc.integer({ min: 700, max: 4000 })),
  perSecond: fc.constantFrom(0, 5, 25, 100, 400, 2000),
  hosts: fc.integer({ min: 1, max: 31 })
}), { minLength: 2, maxLength: 6 })

function createDemand (phases: Phase[]): (host: number, now: number) => number {
  const total = phases.reduce((sum, { durationMs }) => sum + durationMs, 0)
  return (host, now) => {
    let left = now % total
    const phase = phases.find(({ durationMs }) => (left -= durationMs) < 0)
    return phase !== undefined && (phase.hosts & (1 << host)) !== 0 ? phase.perSecond : 0
  }
}

describe('limit of rate and burst', () => {
  // Guards against admitting more than rate x time + burst when messages are lost, late or duplicated and hosts crash, pause,
  // leave or are cut off, while the clocks of the hosts drift.
  it('is not exceeded in any time window under random fault schedules', () => {
    fc.assert(fc.property(
      fc.integer(), fc.integer({ min: 2, max: 5 }), fc.array(faultArbitrary, { maxLength: 12 }), phasesArbitrary, fc.boolean(),
      (seed, hosts, faults, phases, isReliable) => {
        const fleet = new BudgetFleet({ seed, hosts, rate: RATE, burst: BURST, durationMs: DURATION_MS, faults, demand: createDemand(phases), isReliable, lowRate: RATE / 4, lowBurst: BURST / 4 }).run()
        assert.ok(findExcess(fleet.admissions, FAST_RATE, BURST) <= 0, `excess ${findExcess(fleet.admissions, FAST_RATE, BURST)}`)
      }
    ), { seed: SEED, numRuns: RUNS })
  })

  // Guards against keeping the limit only by admitting too little: no request within the rate may be rejected.
  for (const [name, demand] of Object.entries({
    'all traffic at one host': (host: number) => host === 0 ? 90 : 0,
    'traffic spread evenly': () => 30,
    'load balancer moves all callers to another host every 5 s': (host: number, now: number) => host === Math.floor(now / 5000) % 3 ? 90 : 0
  })) {
    it(`admits all requests within the rate: ${name}`, () => {
      const fleet = new BudgetFleet({ seed: SEED, hosts: 3, rate: RATE, burst: BURST, durationMs: 30_000, faults: [], demand, isReliable: true }).run()
      assert.equal(fleet.rejections.filter((at) => at >= FIRST_TABLE_BY_MS).length, 0)
      assert.ok(fleet.admissions.length > 0.8 * 90 * 30, String(fleet.admissions.length))
    })
  }

  // Guards against rejections while partitions move between homes: each host in turn leaves and rejoins.
  it('admits all requests within the rate while each host in turn is drained and rejoins', () => {
    const faults = [0, 1, 2, 3].map((host): Fault => ({ at: 12_000 + host * 9000, type: 'leave', host, durationMs: 4000 }))
    const fleet = new BudgetFleet({ seed: SEED, hosts: 4, rate: RATE, burst: BURST, durationMs: 60_000, faults, demand: (host) => host === 0 ? 60 : 0, isReliable: true }).run()
    assert.equal(fleet.rejections.filter((at) => at >= FIRST_TABLE_BY_MS).length, 0)
  })

  // Guards against budgets that stay unavailable after one host crashes, is paused for longer than its validity or is cut off.
  // Only the loss of the home may cause rejections, and only until its delegations have expired. The 5 s of simulated time
  // include the time to detect the failure.
  for (const type of ['crash', 'pause', 'cut-off'] as const) {
    it(`admits all requests within the rate within 5 s after the loss of any one host: ${type}`, () => {
      const runs = [0, 1, 2, 3].map((host) => new BudgetFleet({
        seed: SEED, hosts: 4, rate: RATE, burst: BURST, durationMs: 45_000, faults: [{ at: 12_000, type, host, durationMs: 8000 }], demand: (user) => user === (host + 1) % 4 ? 60 : 0, isReliable: true
      }).run().rejections.filter((at) => at >= FIRST_TABLE_BY_MS))
      assert.ok(runs.filter((rejections) => rejections.length > 0).length <= 1, 'only the loss of the home may cause rejections')
      assert.equal(runs.flat().filter((at) => at >= 17_000).length, 0)
    })
  }

  // Guards against shares that expire because the store is unavailable while all hosts are running.
  it('admits all requests within the rate during a long store outage', () => {
    const fleet = new BudgetFleet({
      seed: SEED, hosts: 4, rate: RATE, burst: BURST, durationMs: 60_000, faults: [{ at: 8000, type: 'store-down', host: 0, durationMs: 60_000 }], demand: (host) => host === 1 ? 90 : 0, isReliable: true
    }).run()
    assert.equal(fleet.rejections.filter((at) => at >= FIRST_TABLE_BY_MS).length, 0)
    assert.ok(fleet.admissions.length > 0.8 * 90 * 60, String(fleet.admissions.length))
  })
})
