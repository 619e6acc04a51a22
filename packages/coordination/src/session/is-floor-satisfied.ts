import type { Position } from '@tanagerusher/state/position/position'

/**
 * Whether a database whose log ends at `log` holds everything up to `floor`. A log of a lower term never does: it may
 * hold writes that no majority had and that were truncated. A log of a higher term contains all acknowledged positions
 * of lower terms.
 */
export function isFloorSatisfied (log: Position, floor: Position): boolean {
  return log.term >= floor.term && log.position >= floor.position
}
