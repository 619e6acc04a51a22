import type { TermStart } from './term-start.js'

interface LogOutline {
  history: readonly TermStart[]
  /** Position of the last entry. */
  position: number
}

/**
 * Last position up to which two logs are equal. A term has one primary, which alone decides its entries; so two logs that
 * hold a position with the same term are equal up to it.
 */
export function findCommonPosition (left: LogOutline, right: LogOutline): number {
  let common = 0
  for (const { term, start } of left.history) {
    const other = right.history.find((item) => item.term === term)
    if (other === undefined || other.start !== start) continue
    common = Math.max(common, Math.min(findTermEnd(left, term), findTermEnd(right, term)))
  }
  return common
}

function findTermEnd ({ history, position }: LogOutline, term: number): number {
  const next = history.find((item) => item.term > term)
  return next === undefined ? position : next.start - 1
}
