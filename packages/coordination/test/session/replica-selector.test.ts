import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DataAge } from '../../src/session/data-age.js'
import { ReplicaSelector } from '../../src/session/replica-selector.js'
import type { ReplicaCandidate } from '../../src/session/replica-candidate.js'

const selector = ReplicaSelector.create({ dataCentre: 'd1', region: 'r1', catchUpWaitMs: 150, statusMaximumAgeMs: 3000 })
const floor = { term: 2, position: 10 }
const request = { floor, maximumAgeMs: undefined, routedAt: 0, excluded: new Set<string>() }

function createCandidate (database: string, fields: Partial<ReplicaCandidate> & { dataAgeMs?: number } = {}): ReplicaCandidate {
  const { dataAgeMs = 0, ...rest } = fields
  const age = DataAge.create({ dataAgeMs, observedAgeMs: 0, receivedAt: 0 })
  return { database, dataCentre: 'd1', region: 'r1', isPrimary: false, isReachable: true, isLeaving: false, log: floor, load: 0, age, observedAt: 0, ...rest }
}

const primary = createCandidate('p', { isPrimary: true })

describe('ReplicaSelector', () => {
  // Guards against stale reads after a failover: a log of an old term may hold writes that were lost.
  it('never chooses a replica of an old term, however high its position', () => {
    const old = createCandidate('a', { log: { term: 1, position: 999 } })
    assert.equal(selector.choose(request, [old, primary], 1)?.database, 'p')
    assert.equal(selector.choose(request, [old], 1), undefined)
  })

  it('prefers near replicas, then the least loaded, and skips leaving, unreachable and excluded ones and those without a recent status', () => {
    const far = createCandidate('far', { region: 'r2', dataCentre: 'd9' })
    const busy = createCandidate('busy', { load: 5 })
    const idle = createCandidate('idle')
    assert.equal(selector.choose(request, [far, busy, idle, primary], 1)?.database, 'idle')
    assert.equal(selector.choose({ ...request, excluded: new Set(['idle']) }, [far, busy, idle, primary], 1)?.database, 'busy')
    const unusable = [createCandidate('x', { isLeaving: true }), createCandidate('y', { isReachable: false }), createCandidate('z', { observedAt: -5000 })]
    assert.equal(selector.choose(request, [...unusable, primary], 1)?.database, 'p')
  })

  it('chooses a replica that is expected to catch up until catchUpWaitMs have passed, then the primary', () => {
    const behind = createCandidate('behind', { log: { term: 2, position: 9 } })
    assert.equal(selector.choose(request, [behind, primary], 1)?.database, 'behind')
    assert.equal(selector.choose(request, [behind, primary], 150)?.database, 'p')
    assert.equal(selector.choose(request, [createCandidate('lagging', { log: { term: 2, position: 9 }, dataAgeMs: 400 }), primary], 1)?.database, 'p')
  })

  // Guards against reads of data that exceeds the maximum age because no new status arrives.
  it('never chooses a replica whose data exceeds the maximum age or that is below the floor', () => {
    const young = createCandidate('young', { log: { term: 2, position: 1 }, dataAgeMs: 100 })
    const bounded = { ...request, floor: null, maximumAgeMs: 500 }
    assert.equal(selector.choose(bounded, [young, primary], 400)?.database, 'young')
    assert.equal(selector.choose(bounded, [young, primary], 401)?.database, 'p')
    assert.equal(selector.choose({ ...bounded, floor, routedAt: -150 }, [young, primary], 1)?.database, 'p')
    const unknown = { ...young, age: DataAge.create({ dataAgeMs: undefined, observedAgeMs: 0, receivedAt: 0 }) }
    assert.equal(selector.choose(bounded, [unknown, primary], 1)?.database, 'p')
  })
})
