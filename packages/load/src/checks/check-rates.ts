import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { WindowExcess } from './window-excess.js'

/** Admission counts whole statements, so a smaller excess comes from rounding of times. */
const TOLERANCE_STATEMENTS = 1e-6

/**
 * A response with this SQLSTATE comes from a host, so the work was admitted. A broken connection, which is also an unknown
 * outcome, does not show that.
 */
const OUTCOME_UNKNOWN = '08007'

/** Finds organisations for which more statements than rate x length + burst were admitted in some window. */
export function checkRates ({ operations, organisations }: History): Violation[] {
  return Object.entries(organisations).flatMap(([name, { rate, burst }]) => {
    const admitted = operations.filter(({ organisation, outcome, sqlState }) => (
      organisation === name && (outcome === 'run' || sqlState === OUTCOME_UNKNOWN)
    ))
    const worst = WindowExcess.find(admitted, rate, burst)
    if (worst === undefined || worst.excess <= TOLERANCE_STATEMENTS) return []
    return [{ check: 'rate-exceeded', operation: name, text: `${worst.excess.toFixed(2)} statements over rate and burst in a window from ${Math.round(worst.startMs)} ms` }]
  })
}
