import type { Position } from '@tanagerusher/state/position/position'

/**
 * Returns whether a database whose log ends at `log` holds all writes up to `floor`. A log of a lower term never does,
 * because it may hold writes that did not reach a majority and were truncated. A log of a higher term contains all
 * acknowledged positions of lower terms.
 */
export function isFloorSatisfied (log: Position, floor: Position): boolean {
  return log.term >= floor.term && log.position >= floor.position
}
