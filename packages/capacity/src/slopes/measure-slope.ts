import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Slope } from './slope.js'

interface MeasureOptions<State> {
  name: string
  size: number
  build: (size: number) => State
  /** One piece of regular work on the state, called `operations` times. */
  run: (state: State, index: number) => void
  operations: number
}

/** Measures heap for each item and processor time for each operation of a decision module at one size. */
export function measureSlope<State> ({ name, size, build, run, operations }: MeasureOptions<State>): Slope {
  const before = readHeap()
  const state = build(size)
  const heap = readHeap() - before
  const started = process.cpuUsage()
  for (let index = 0; index < operations; index++) run(state, index)
  const used = process.cpuUsage(started)
  return {
    name,
    size,
    heapBytesPerItem: Math.round(heap / size),
    cpuUsPerOperation: Math.round((used.user + used.system) / operations * 10) / 10
  }
}

function readHeap (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}
