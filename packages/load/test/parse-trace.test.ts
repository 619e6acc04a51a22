import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseTrace } from '../src/replay/parse-trace.js'

const header = '{"type":"trace","name":"n","summary":"s","deployment":"toll-ledger","seed":1,"guarantees":[1]}'
const expectation = '{"type":"expect","measure":"violations","atMost":0}'
const fault = '{"type":"fault","atMs":5,"fault":"heal","target":"d"}'

test('a valid trace is parsed and its events are sorted by time', () => {
  const trace = parseTrace([header, fault.replace('5', '9'), fault, expectation, ''].join('\n'))._unsafeUnwrap()
  assert.deepEqual(trace.events.map(({ atMs }) => atMs), [5, 9])
})

for (const [lines, line, found] of [
  [[header, '{', expectation], 2, 'it is not JSON'],
  [[fault, header], 1, 'the first line must have the type trace'],
  [[header, fault.replace('heal', 'haze'), expectation], 2, 'fault'],
  [[header, expectation.replace('"atMost":0', '"class":"x","atMost":0')], 2, 'class: toll-ledger has no x'],
  [[header, fault], 2, 'no outcome is stated']
] as const) {
  test(`an invalid trace is rejected with the number of the faulty line: ${found}`, () => {
    const error = parseTrace(lines.join('\n'))._unsafeUnwrapErr()
    assert.equal(error.kind, 'trace-invalid')
    assert.equal(error.details['line'], line)
    assert.match(String(error.details['found']), new RegExp(found))
  })
}
