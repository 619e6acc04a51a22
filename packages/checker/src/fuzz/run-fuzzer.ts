import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { FuzzTarget } from './fuzz-target.js'
import type { FuzzReport } from './fuzz-report.js'

interface RunOptions {
  targets: readonly FuzzTarget[]
  seed: number
  /** Number of inputs for each target. */
  runs: number
}

const MAXIMUM_FAULTS = 10
const MAXIMUM_MUTATIONS = 6
/** Bytes at the limits of lengths and counts, and the characters that delimit quotes and comments. */
const BOUNDARY_BYTES = [0x00, 0x01, 0x7f, 0x80, 0xff, 0x27, 0x2f, 0x2a, 0x24]

/** Runs each target with seeded mutations of well-formed inputs and with random bytes, and collects all errors that are not typed. */
export function runFuzzer ({ targets, seed, runs }: RunOptions): FuzzReport {
  const report: FuzzReport = { tried: {}, faults: [] }
  const random = xoroshiro128plus(seed)
  const choose = (minimum: number, maximum: number): number => uniformInt(random, minimum, maximum)
  for (const target of targets) {
    for (let run = 0; run < runs; run++) {
      const input = createInput(target, choose)
      const error = findFault(target, input)
      report.tried[target.name] = run + 1
      if (error !== undefined && report.faults.length < MAXIMUM_FAULTS) report.faults.push({ target: target.name, input: input.toString('base64'), error })
    }
  }
  return report
}

function findFault (target: FuzzTarget, input: Buffer): string | undefined {
  try {
    target.run(input)
    return undefined
  } catch (error) {
    return error instanceof TanagerusherError ? undefined : String((error as Error).stack ?? error)
  }
}

function createInput (target: FuzzTarget, choose: (minimum: number, maximum: number) => number): Buffer {
  if (choose(0, 9) === 0) return Buffer.from(Array.from({ length: choose(0, 200) }, () => choose(0, 255)))
  let input: Buffer = Buffer.from(target.seeds[choose(0, target.seeds.length - 1)] as Buffer)
  for (let mutations = choose(1, MAXIMUM_MUTATIONS); mutations > 0; mutations--) input = applyMutation(input, choose)
  return input
}

function applyMutation (input: Buffer, choose: (minimum: number, maximum: number) => number): Buffer {
  const at = choose(0, input.length)
  switch (choose(0, 4)) {
    case 0: return Buffer.concat([input.subarray(0, at), input.subarray(Math.min(input.length, at + choose(1, 8)))])
    case 1: return Buffer.concat([input.subarray(0, at), Buffer.from([BOUNDARY_BYTES[choose(0, BOUNDARY_BYTES.length - 1)] as number]), input.subarray(at)])
    case 2: return Buffer.concat([input.subarray(0, at), input.subarray(choose(0, at), at), input.subarray(at)])
    case 3: return input.subarray(0, at)
    default: {
      const mutated = Buffer.from(input)
      if (at < mutated.length) mutated[at] = choose(0, 255)
      return mutated
    }
  }
}
