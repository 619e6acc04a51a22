import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkHistory } from '../src/checks/check-history.js'
import type { History } from '../src/history/history.js'
import { buildHistory } from './fixtures/build-history.js'

const write = { writes: ['a'] }
const read = { kind: 'read' as const, startMs: 2, endMs: 3 }
const burst = Array.from({ length: 5 }, () => ({ startMs: 0, endMs: 0 }))

/** The faulty history of each pair violates exactly one guarantee, which only the named check may report. The valid one violates none. */
const cases: Array<{ check: string, faulty: History, valid: History }> = [
  {
    check: 'read-your-writes',
    faulty: buildHistory([write, { ...read, host: 'h2', observed: [] }], ['a']),
    valid: buildHistory([write, { ...read, startMs: 0.5, observed: [] }, { ...read, observed: ['a'] }, { ...read, acceptsStale: true, observed: [] }], ['a'])
  },
  {
    check: 'monotonic-reads',
    faulty: buildHistory([{ ...write, outcome: 'unknown' }, { ...read, observed: ['a'] }, { ...read, startMs: 4, endMs: 5, observed: [] }], ['a']),
    valid: buildHistory([{ ...write, outcome: 'unknown' }, { ...read, observed: [] }, { ...read, startMs: 4, endMs: 5, observed: ['a'] }], ['a'])
  },
  {
    check: 'lost',
    faulty: buildHistory([write, { ...read, observed: ['a'] }]),
    valid: buildHistory([write, { ...read, observed: ['a'] }], ['a'])
  },
  {
    check: 'falsely-acknowledged',
    faulty: buildHistory([write]),
    valid: buildHistory([{ ...write, outcome: 'unknown' }])
  },
  {
    check: 'doubled',
    faulty: buildHistory([write], ['a', 'a']),
    valid: buildHistory([write, { writes: ['b'] }], ['a', 'b'])
  },
  {
    check: 'mixed-transactions',
    faulty: buildHistory([{ kind: 'transaction', writes: ['a', 'b'], outcome: 'unknown' }], ['a']),
    valid: buildHistory([{ kind: 'transaction', writes: ['a', 'b'], outcome: 'unknown' }], ['a', 'b'])
  },
  {
    check: 'mixed-transactions',
    faulty: buildHistory([{ kind: 'transaction', writes: ['a'], rolledBack: true }], ['a']),
    valid: buildHistory([{ kind: 'transaction', writes: ['a'], rolledBack: true }])
  },
  {
    check: 'mixed-transactions',
    faulty: buildHistory([{ ...write, session: 's2' }], ['a']),
    valid: buildHistory([write], ['a'])
  },
  {
    check: 'wrong-answer',
    faulty: buildHistory([{ ...read, marker: 'm1', answerMarker: 'm2' }]),
    valid: buildHistory([{ ...read, marker: 'm1', answerMarker: 'm1' }, { ...read, marker: 'm2', outcome: 'unknown' }])
  },
  {
    check: 'false-not-run',
    faulty: buildHistory([{ ...write, outcome: 'not-run', sqlState: '57P03' }], ['a']),
    valid: buildHistory([{ ...write, outcome: 'not-run', sqlState: '57P03' }])
  },
  {
    check: 'foreign-key',
    faulty: buildHistory([{ ...read, entry: 'other' }]),
    valid: buildHistory([{ ...read, entry: 'open' }, { ...read, entry: 'other', outcome: 'not-run' }])
  },
  {
    check: 'withdrawn-key',
    faulty: buildHistory([{ ...read, startMs: 9001, endMs: 9002 }], [], { withdrawals: [{ key: 'kask#1', atMs: 1000 }] }),
    valid: buildHistory([{ ...read, startMs: 9000, endMs: 9001 }, { ...read, key: 'kask#2', startMs: 9001, endMs: 9002 }], [], { withdrawals: [{ key: 'kask#1', atMs: 1000 }] })
  },
  {
    check: 'rate-exceeded',
    faulty: buildHistory([...burst, { startMs: 0, endMs: 50 }]),
    valid: buildHistory([...burst, { startMs: 0, endMs: 100 }, { startMs: 0, endMs: 0, outcome: 'not-run' }])
  }
]

for (const [index, { check, faulty, valid }] of cases.entries()) {
  test(`check ${check} (${index}) reports its violation, no other check does, and a valid history passes`, () => {
    assert.deepEqual([...new Set(checkHistory(faulty).map((violation) => violation.check))], [check])
    assert.deepEqual(checkHistory(valid), [])
  })
}
