import type { TraceLine } from './trace-line.js'

export type TraceEvent = Extract<TraceLine, { atMs: number }>

/** A parsed trace: its events, sorted by time, and the expectations that must hold. */
export interface Trace {
  header: Extract<TraceLine, { type: 'trace' }>
  events: TraceEvent[]
  expectations: Array<Extract<TraceLine, { type: 'expect' }>>
}
