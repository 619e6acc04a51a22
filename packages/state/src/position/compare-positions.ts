import type { Position } from './position.js'

/** Orders positions by term, then by position. Negative when `left` comes first. */
export function comparePositions (left: Position, right: Position): number {
  return left.term - right.term || left.position - right.position
}
