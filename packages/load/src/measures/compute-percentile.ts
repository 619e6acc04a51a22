import { build } from 'hdr-histogram-js'

const UNITS_PER_MS = 1000

/** Computes a percentile (0 to 100) of durations in milliseconds, with three significant digits. */
export function computePercentile (durationsMs: readonly number[], percentile: number): number {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  for (const duration of durationsMs) histogram.recordValue(Math.max(1, Math.round(duration * UNITS_PER_MS)))
  return durationsMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / UNITS_PER_MS
}
