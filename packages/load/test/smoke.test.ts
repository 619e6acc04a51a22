import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { parseTrace } from '../src/replay/parse-trace.js'
import { TraceRunner } from '../src/replay/trace-runner.js'

// Runs one group and two hosts as real processes. Guards against failures on the path from the caller to the databases and
// back. The trace states no bounds on times.
test('an ordinary day at the toll ledger holds all its stated outcomes', async () => {
  const trace = parseTrace(readFileSync('packages/load/traces/toll-01-ordinary-day.jsonl', 'utf8'))._unsafeUnwrap()
  const { outcomes } = await TraceRunner.run(trace)
  assert.deepEqual(outcomes.filter(({ holds }) => !holds), [])
})
