import type { Value } from '../ledger/value.js'

/** Compares two values for sorting; null comes last, as in an ascending ORDER BY. */
export function compareValues (left: Value, right: Value): number {
  if (left === right) return 0
  if (left === null) return 1
  if (right === null) return -1
  if (typeof left !== typeof right) return compareMixed(left, right)
  return left < right ? -1 : left > right ? 1 : 0
}

function compareMixed (left: Value, right: Value): number {
  if (typeof left === 'number' || typeof right === 'number') return Number(left) - Number(right)
  return String(left) < String(right) ? -1 : String(left) > String(right) ? 1 : 0
}
