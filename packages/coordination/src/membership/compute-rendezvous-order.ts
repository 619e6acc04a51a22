import { computeHash } from '../common/compute-hash.js'

interface Weighted {
  candidate: string
  weight: number
}

/**
 * Orders candidates for the ownership of `item` by highest random weight. All hosts that know the same candidates
 * compute the same order, and a candidate that goes moves only the items that it was first for.
 */
export function computeRendezvousOrder (item: string, candidates: readonly string[]): string[] {
  const itemHash = computeHash(item)
  const weighted = candidates.map((candidate): Weighted => ({ candidate, weight: mixHashes(itemHash, computeHash(candidate)) }))
  weighted.sort(compareWeights)
  return weighted.map(({ candidate }) => candidate)
}

function compareWeights (left: Weighted, right: Weighted): number {
  return right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1)
}

/** Finalizer of MurmurHash3 over both hashes: every input bit changes about half of the output bits. */
function mixHashes (left: number, right: number): number {
  let mixed = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
