import type { Position } from '@tanagerusher/state/position/position'
import type { TermStart } from './term-start.js'

/**
 * Whether a log with this term history that ends at `end` contains the entry that a primary wrote at `position`. An entry of
 * another term at the same position is a different entry.
 */
export function isPositionInHistory (history: readonly TermStart[], end: Position, position: Position): boolean {
  const ordered = [...history].sort((left, right) => left.term - right.term)
  const index = ordered.findIndex(({ term }) => term === position.term)
  const own = ordered[index]
  if (own === undefined || position.position < own.start || position.position > end.position) return false
  const next = ordered[index + 1]
  return next === undefined || position.position < next.start
}
