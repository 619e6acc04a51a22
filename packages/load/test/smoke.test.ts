import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { parseTrace } from '../src/replay/parse-trace.js'
import { TraceRunner } from '../src/replay/trace-runner.js'

// One group and two hosts of real processes. It guards the path from the caller to the databases and back; the trace
// states no times.
test('an ordinary day at the toll ledger holds all its stated outcomes', async () => {
  const trace = parseTrace(readFileSync('packages/load/traces/toll-01-ordinary-day.jsonl', 'utf8'))._unsafeUnwrap()
  const { outcomes } = await TraceRunner.run(trace)
  assert.deepEqual(outcomes.filter(({ holds }) => !holds), [])
})
