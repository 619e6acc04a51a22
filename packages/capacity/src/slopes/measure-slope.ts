import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Slope } from './slope.js'

interface MeasureOptions<State> {
  name: string
  size: number
  build: (size: number) => State
  /** Performs one regular operation on the state; called `operations` times. */
  run: (state: State, index: number) => void
  operations: number
}

/** Measures the heap per item and the processor time per operation of one kind of state at one size. */
export function measureSlope<State> ({ name, size, build, run, operations }: MeasureOptions<State>): Slope {
  const bytesBefore = readHeapBytes()
  const state = build(size)
  const heapBytes = readHeapBytes() - bytesBefore
  const started = process.cpuUsage()
  for (let index = 0; index < operations; index++) run(state, index)
  const used = process.cpuUsage(started)
  return {
    name,
    size,
    heapBytesPerItem: Math.round(heapBytes / size),
    cpuUsPerOperation: Math.round((used.user + used.system) / operations * 10) / 10
  }
}

function readHeapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}
