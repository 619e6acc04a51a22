import type { Histogram } from 'hdr-histogram-js'

/** Outcome of a closed loop of statements. */
export interface ClosedLoopResult {
  perSecond: number
  failures: number
  /** Latencies in microseconds. */
  histogram: Histogram
}
