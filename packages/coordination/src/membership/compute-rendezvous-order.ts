import { createHash } from 'node:crypto'

/**
 * Orders candidates for the ownership of `item` by highest random weight. All hosts that know the same candidates
 * compute the same order, and a candidate that goes moves only the items that it was first for.
 */
export function computeRendezvousOrder (item: string, candidates: readonly string[]): string[] {
  const weighted = candidates.map((candidate) => ({ candidate, weight: computeWeight(item, candidate) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1))
  return weighted.map(({ candidate }) => candidate)
}

function computeWeight (item: string, candidate: string): number {
  return createHash('md5').update(`${item}\0${candidate}`).digest().readUIntBE(0, 6)
}
