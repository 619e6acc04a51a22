import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createFuzzTargets } from '../src/fuzz/create-fuzz-targets.js'
import { runFuzzer } from '../src/fuzz/run-fuzzer.js'

describe('hostile input', () => {
  // Guards against inputs that crash a process, and against forged session tokens or SCRAM proofs that are accepted.
  it('is rejected only with typed errors', () => {
    const report = runFuzzer({ targets: createFuzzTargets(), seed: 5, runs: 3000 })
    assert.deepEqual(report.faults, [])
  })

  // Guards against a fuzzer that does not report faults.
  it('that makes a target throw an untyped error is reported', () => {
    const target = { name: 'faulty', seeds: [Buffer.from('abcdef')], run: (input: Buffer) => { if (input.includes(0xff)) throw new TypeError('fault') } }
    assert.ok(runFuzzer({ targets: [target], seed: 5, runs: 3000 }).faults.length > 0)
  })
})
