import fc from 'fast-check'

const host = fc.integer({ min: 0, max: 3 })
const database = fc.integer({ min: 0, max: 2 })
const delayMs = fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 60, max: 900 }))
const forMs = fc.integer({ min: 200, max: 7000 })
/** Share of the restores among the steps, in percent. */
const RESTORE_WEIGHT = 4

const stepArbitrary = fc.oneof(
  { weight: 20, arbitrary: fc.record({ type: fc.constant('write' as const), delayMs, host }) },
  { weight: 16, arbitrary: fc.record({ type: fc.constant('read' as const), delayMs, host }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('release-primary' as const), delayMs }) },
  // Only the host, alone or with a companion, reaches the primary. Both are cut off from all other hosts and from the store, while
  // callers keep using the host.
  { weight: 4, arbitrary: fc.record({ type: fc.constant('split' as const), delayMs, host, forMs: fc.integer({ min: 4000, max: 9000 }), areAnswersSlow: fc.boolean(), isDatabaseSlow: fc.boolean(), hasCompanion: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('dark-database' as const), delayMs, database, forMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cut-database' as const), delayMs, database, forMs }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('cut-host-from-database' as const), delayMs, host, database, forMs }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('cut-host-from-store' as const), delayMs, host, forMs }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('cut-host-from-hosts' as const), delayMs, host, forMs }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('suspend-host' as const), delayMs, host, forMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('slow-database' as const), delayMs, database, forMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('store-slow' as const), delayMs, forMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('store-loses-answers' as const), delayMs, forMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('endpoint-loses-answers' as const), delayMs, forMs }) }
)

// The store is copied; after `copyAgeMs` it is away for `forMs`, then it comes back from the copy.
const restoreArbitrary = fc.record({ type: fc.constant('store-restored' as const), delayMs, copyAgeMs: fc.integer({ min: 100, max: 9000 }), forMs: fc.integer({ min: 0, max: 2000 }) })

/** One step of a schedule: a caller's request or a fault. `delayMs` is the virtual time before the step. */
export type LeaseStep = (typeof stepArbitrary | typeof restoreArbitrary) extends fc.Arbitrary<infer Step> ? Step : never

/** Restores are optional, so that the schedules of earlier seeds stay as they are. */
export function createLeaseStepArbitrary (hasRestores: boolean): fc.Arbitrary<LeaseStep> {
  return hasRestores ? fc.oneof({ weight: 100 - RESTORE_WEIGHT, arbitrary: stepArbitrary }, { weight: RESTORE_WEIGHT, arbitrary: restoreArbitrary }) : stepArbitrary
}
