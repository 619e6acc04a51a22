import type { History } from '../history/history.js'
import type { Violation } from './violation.js'
import { WindowExcess } from './window-excess.js'

/** Admission counts whole statements; a smaller excess comes from the rounding of times. */
const TOLERANCE_STATEMENTS = 1e-6

/** An answer of this state comes from a host, so the work was admitted; a broken connection does not show that. */
const OUTCOME_UNKNOWN = '08007'

/** Finds organisations of which more statements were admitted in some window than rate x length + burst. */
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
