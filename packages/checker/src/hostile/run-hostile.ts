import { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { HostileTarget } from './hostile-target.js'
import type { HostileReport } from './hostile-report.js'

interface RunOptions {
  targets: readonly HostileTarget[]
  seed: number
  /** Inputs for each target. */
  runs: number
}

const MAXIMUM_FAULTS = 10
const MAXIMUM_EDITS = 6
/** Values at the limits of lengths and counts. */
const EDGE_BYTES = [0x00, 0x01, 0x7f, 0x80, 0xff, 0x27, 0x2f, 0x2a, 0x24]

/** Feeds each target with seeded mutations of well-formed inputs and with noise, and collects what is not a typed refusal. */
export function runHostile ({ targets, seed, runs }: RunOptions): HostileReport {
  const report: HostileReport = { tried: {}, faults: [] }
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

function findFault (target: HostileTarget, input: Buffer): string | undefined {
  try {
    target.run(input)
    return undefined
  } catch (error) {
    return error instanceof TanagerusherError ? undefined : String((error as Error).stack ?? error)
  }
}

function createInput (target: HostileTarget, choose: (minimum: number, maximum: number) => number): Buffer {
  if (choose(0, 9) === 0) return Buffer.from(Array.from({ length: choose(0, 200) }, () => choose(0, 255)))
  let input: Buffer = Buffer.from(target.seeds[choose(0, target.seeds.length - 1)] as Buffer)
  for (let edits = choose(1, MAXIMUM_EDITS); edits > 0; edits--) input = applyEdit(input, choose)
  return input
}

function applyEdit (input: Buffer, choose: (minimum: number, maximum: number) => number): Buffer {
  const at = choose(0, input.length)
  switch (choose(0, 4)) {
    case 0: return Buffer.concat([input.subarray(0, at), input.subarray(Math.min(input.length, at + choose(1, 8)))])
    case 1: return Buffer.concat([input.subarray(0, at), Buffer.from([EDGE_BYTES[choose(0, EDGE_BYTES.length - 1)] as number]), input.subarray(at)])
    case 2: return Buffer.concat([input.subarray(0, at), input.subarray(choose(0, at), at), input.subarray(at)])
    case 3: return input.subarray(0, at)
    default: {
      const edited = Buffer.from(input)
      if (at < edited.length) edited[at] = choose(0, 255)
      return edited
    }
  }
}
