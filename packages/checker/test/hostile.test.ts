import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createTargets } from '../src/hostile/create-targets.js'
import { runHostile } from '../src/hostile/run-hostile.js'

describe('hostile input', () => {
  // Guards against an input that ends a process, or that passes a forged token or proof.
  it('is refused with typed errors only', () => {
    const report = runHostile({ targets: createTargets(), seed: 5, runs: 3000 })
    assert.deepEqual(report.faults, [])
  })

  // Guards against a fuzzer that would not notice a fault.
  it('finds a target that fails on some inputs', () => {
    const target = { name: 'faulty', seeds: [Buffer.from('abcdef')], run: (input: Buffer) => { if (input.includes(0xff)) throw new TypeError('fault') } }
    assert.ok(runHostile({ targets: [target], seed: 5, runs: 3000 }).faults.length > 0)
  })
})
