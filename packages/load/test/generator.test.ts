import assert from 'node:assert/strict'
import { test } from 'node:test'
import { classifyFailure } from '../src/generator/classify-failure.js'
import { SeededRandom } from '../src/random/seeded-random.js'
import { buildWork } from '../src/workload/build-work.js'
import { tollLedger } from '../src/workload/toll-ledger.js'

test('a failure is an unknown outcome only when the work may have been sent', () => {
  const broken = new Error('Connection terminated unexpectedly')
  assert.equal(classifyFailure(broken, true).outcome, 'unknown')
  assert.equal(classifyFailure(broken, false).outcome, 'not-run')
  assert.equal(classifyFailure(Object.assign(new Error(), { code: '08007' }), true).outcome, 'unknown')
  assert.equal(classifyFailure(Object.assign(new Error(), { code: '57P03' }), true).outcome, 'not-run')
  assert.equal(classifyFailure(Object.assign(new Error(), { code: 'ECONNRESET' }), true).outcome, 'unknown')
  assert.equal(classifyFailure(Object.assign(new Error(), { code: '25000', hint: 'Not run again. Treat it as done.' }), true).outcome, 'run')
})

test('the same seed always builds the same work, and row identifiers are unique', () => {
  const build = (seed: number): object[] => {
    const random = SeededRandom.create(seed)
    return Array.from({ length: 200 }, (_, index) => (
      buildWork({ callerClass: tollLedger.classes[0] as never, session: 's', id: `s-${index}`, random })
    ))
  }
  assert.deepEqual(build(3), build(3))
  assert.notDeepEqual(build(3), build(4))
  const rows = (build(3) as Array<{ writes: string[] }>).flatMap(({ writes }) => writes)
  assert.equal(new Set(rows).size, rows.length)
})
