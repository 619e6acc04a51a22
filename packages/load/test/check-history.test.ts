import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkHistory } from '../src/checks/check-history.js'
import type { History } from '../src/history/history.js'
import { buildHistory } from './fixtures/build-history.js'

const write = { writes: ['a'] }
const read = { kind: 'read' as const, startMs: 2, endMs: 3 }
const burst = Array.from({ length: 5 }, () => ({ startMs: 0, endMs: 0 }))

/** Each pair of histories differs in exactly one fault; the check named first must find it and no other may. */
const cases: Array<{ check: string, faulty: History, sound: History }> = [
  {
    check: 'read-your-writes',
    faulty: buildHistory([write, { ...read, host: 'h2', observed: [] }], ['a']),
    sound: buildHistory([write, { ...read, startMs: 0.5, observed: [] }, { ...read, observed: ['a'] }, { ...read, acceptsStale: true, observed: [] }], ['a'])
  },
  {
    check: 'monotonic-reads',
    faulty: buildHistory([{ ...write, outcome: 'unknown' }, { ...read, observed: ['a'] }, { ...read, startMs: 4, endMs: 5, observed: [] }], ['a']),
    sound: buildHistory([{ ...write, outcome: 'unknown' }, { ...read, observed: [] }, { ...read, startMs: 4, endMs: 5, observed: ['a'] }], ['a'])
  },
  {
    check: 'lost',
    faulty: buildHistory([write, { ...read, observed: ['a'] }]),
    sound: buildHistory([write, { ...read, observed: ['a'] }], ['a'])
  },
  {
    check: 'falsely-acknowledged',
    faulty: buildHistory([write]),
    sound: buildHistory([{ ...write, outcome: 'unknown' }])
  },
  {
    check: 'doubled',
    faulty: buildHistory([write], ['a', 'a']),
    sound: buildHistory([write, { writes: ['b'] }], ['a', 'b'])
  },
  {
    check: 'mixed-transactions',
    faulty: buildHistory([{ kind: 'transaction', writes: ['a', 'b'], outcome: 'unknown' }], ['a']),
    sound: buildHistory([{ kind: 'transaction', writes: ['a', 'b'], outcome: 'unknown' }], ['a', 'b'])
  },
  {
    check: 'mixed-transactions',
    faulty: buildHistory([{ kind: 'transaction', writes: ['a'], rolledBack: true }], ['a']),
    sound: buildHistory([{ kind: 'transaction', writes: ['a'], rolledBack: true }])
  },
  {
    check: 'mixed-transactions',
    faulty: buildHistory([{ ...write, session: 's2' }], ['a']),
    sound: buildHistory([write], ['a'])
  },
  {
    check: 'wrong-answer',
    faulty: buildHistory([{ ...read, marker: 'm1', answerMarker: 'm2' }]),
    sound: buildHistory([{ ...read, marker: 'm1', answerMarker: 'm1' }, { ...read, marker: 'm2', outcome: 'unknown' }])
  },
  {
    check: 'false-not-run',
    faulty: buildHistory([{ ...write, outcome: 'not-run', sqlState: '57P03' }], ['a']),
    sound: buildHistory([{ ...write, outcome: 'not-run', sqlState: '57P03' }])
  },
  {
    check: 'foreign-key',
    faulty: buildHistory([{ ...read, entry: 'other' }]),
    sound: buildHistory([{ ...read, entry: 'open' }, { ...read, entry: 'other', outcome: 'not-run' }])
  },
  {
    check: 'withdrawn-key',
    faulty: buildHistory([{ ...read, startMs: 9001, endMs: 9002 }], [], { withdrawals: [{ key: 'kask#1', atMs: 1000 }] }),
    sound: buildHistory([{ ...read, startMs: 9000, endMs: 9001 }, { ...read, key: 'kask#2', startMs: 9001, endMs: 9002 }], [], { withdrawals: [{ key: 'kask#1', atMs: 1000 }] })
  },
  {
    check: 'rate-exceeded',
    faulty: buildHistory([...burst, { startMs: 0, endMs: 50 }]),
    sound: buildHistory([...burst, { startMs: 0, endMs: 100 }, { startMs: 0, endMs: 0, outcome: 'not-run' }])
  }
]

for (const [index, { check, faulty, sound }] of cases.entries()) {
  test(`check ${check} (${index}) finds exactly its fault, which no other check reports`, () => {
    assert.deepEqual([...new Set(checkHistory(faulty).map((violation) => violation.check))], [check])
    assert.deepEqual(checkHistory(sound), [])
  })
}
