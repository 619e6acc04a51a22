import fc from 'fast-check'

const host = fc.integer({ min: 0, max: 2 })
const member = fc.integer({ min: 0, max: 2 })
const delayMs = fc.oneof(fc.integer({ min: 0, max: 100 }), fc.integer({ min: 100, max: 1200 }))

/** One step of a schedule: a caller's request or a fault. `delayMs` is the virtual time before the step. */
export const groupStepArbitrary = fc.oneof(
  { weight: 12, arbitrary: fc.record({ type: fc.constant('write' as const), delayMs, host, session: fc.integer({ min: 0, max: 1 }) }) },
  { weight: 12, arbitrary: fc.record({ type: fc.constant('read' as const), delayMs, host, session: fc.integer({ min: 0, max: 1 }), withToken: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('repeat' as const), delayMs, host }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cut-member' as const), delayMs, member, direction: fc.constantFrom('both' as const, 'to-others' as const, 'from-others' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cut-host' as const), delayMs, host, member }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cut-side' as const), delayMs, host, member }) },
  { weight: 5, arbitrary: fc.record({ type: fc.constant('heal' as const), delayMs }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('crash-member' as const), delayMs, member }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('start-member' as const), delayMs, member }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('pause-host' as const), delayMs, host, forMs: fc.integer({ min: 100, max: 4000 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lose-answers' as const), delayMs, percent: fc.integer({ min: 0, max: 60 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lag' as const), delayMs, lagMs: fc.integer({ min: 1, max: 800 }) }) }
)

export type GroupStep = typeof groupStepArbitrary extends fc.Arbitrary<infer Step> ? Step : never
