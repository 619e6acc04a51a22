import type { TermStart } from './term-start.js'

interface LogOutline {
  history: readonly TermStart[]
  /** Position of the last entry. */
  position: number
}

/**
 * Returns the last position up to which two logs are equal. Each term has a single primary, which alone appends its entries;
 * two logs whose entries at a position have the same term are therefore equal up to that position.
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
