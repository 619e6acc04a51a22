import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { WindowExcess } from '../src/checks/window-excess.js'
import { measureFailoverGap } from '../src/measures/measure-failover-gap.js'
import { measureFalseRejections } from '../src/measures/measure-false-rejections.js'
import { measureReplicaShare } from '../src/measures/measure-replica-share.js'
import { measureWorstServed } from '../src/measures/measure-worst-served.js'
import { buildHistory } from './fixtures/build-history.js'

test('the failover gap is the longest pause that ends after the fault and ignores writes that were not acknowledged', () => {
  const history = buildHistory([10, 500, 600, 2600, 2700].map((endMs) => ({ endMs })).concat({ endMs: 1500, outcome: 'unknown' } as never))
  assert.equal(measureFailoverGap(history, 'tartu', 590), 2000)
  assert.equal(measureFailoverGap(history, 'tartu', 590, 599), 100)
  assert.equal(measureFailoverGap(buildHistory([{ endMs: 10 }]), 'tartu', 5), undefined)
})

test('a refused request counts as a false rejection only while the offered load is within rate and burst', () => {
  const refused = { outcome: 'not-run' as const, sqlState: '53400' }
  assert.deepEqual(measureFalseRejections(buildHistory([{ ...refused }])), { inside: 1, refused: 1 })
  assert.deepEqual(measureFalseRejections(buildHistory([...Array(5).fill({}), refused])), { inside: 5, refused: 0 })
})

test('the worst-served organisation has the smallest share of its fair rate; excluded organisations are ignored', () => {
  const overrides = { organisations: { kask: { rate: 10, burst: 5 }, tiras: { rate: 10, burst: 5 }, big: { rate: 1, burst: 1 } } }
  const history = buildHistory([{}, { organisation: 'tiras', endMs: 4 }, { organisation: 'tiras', outcome: 'not-run' }, { organisation: 'big', outcome: 'not-run' }], [], overrides)
  const worst = measureWorstServed(history, { except: ['big'], fromMs: 0, untilMs: 1000 })
  assert.equal(worst?.organisation, 'tiras')
  assert.equal(worst?.share, 0.5)
  assert.equal(Math.round(worst?.p99Ms ?? 0), 4)
})

test('the replica share counts completed reads only', () => {
  const reads = [{ servedBy: 'replica' }, { servedBy: 'replica' }, { servedBy: 'primary' }, { servedBy: 'primary', outcome: 'not-run' }]
  assert.equal(measureReplicaShare(buildHistory(reads.map((read) => ({ ...read, kind: 'read' })) as never)), 2 / 3)
})

test('WindowExcess finds the same excess as a brute-force search over all windows', () => {
  const work = fc.record({ startMs: fc.integer({ min: 0, max: 50 }), length: fc.integer({ min: 0, max: 20 }), statements: fc.integer({ min: 1, max: 3 }) })
  fc.assert(fc.property(fc.array(work, { minLength: 1, maxLength: 30 }), (entries) => {
    const list = entries.map(({ startMs, length, statements }) => ({ startMs, endMs: startMs + length, statements }))
    const expected = Math.max(...list.flatMap(({ startMs }) => list.filter(({ endMs }) => endMs >= startMs).map(({ endMs }) => list
      .filter((item) => item.startMs >= startMs && item.endMs <= endMs)
      .reduce((sum, { statements }) => sum + statements, 0) - (endMs - startMs) * 0.2 - 4)))
    assert.ok(Math.abs((WindowExcess.find(list, 200, 4)?.excess ?? NaN) - expected) < 1e-9)
  }), { seed: 7, numRuns: 300 })
})
