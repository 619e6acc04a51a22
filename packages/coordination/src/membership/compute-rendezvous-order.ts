import { computeHash } from '../common/compute-hash.js'

interface ScoredCandidate {
  candidate: string
  score: number
}

const HASH_RANGE = 2 ** 32

/**
 * Orders candidates for the ownership of `item` by highest random weight (rendezvous hashing). All hosts with the same
 * candidates compute the same order, and removing a candidate moves only the items for which it came first. With `findWeight`,
 * the share of items for which a candidate comes first is proportional to its weight.
 */
export function computeRendezvousOrder (item: string, candidates: readonly string[], findWeight: (candidate: string) => number = () => 1): string[] {
  const itemHash = computeHash(item)
  const scored = candidates.map((candidate): ScoredCandidate => ({ candidate, score: computeScore(mixHashes(itemHash, computeHash(candidate)), findWeight(candidate)) }))
  scored.sort(compareScores)
  return scored.map(({ candidate }) => candidate)
}

/** Weighted rendezvous hashing: -weight / ln(u) for a uniform u preserves the order of the hashes when weights are equal. */
function computeScore (hash: number, weight: number): number {
  return -weight / Math.log((hash + 0.5) / HASH_RANGE)
}

function compareScores (left: ScoredCandidate, right: ScoredCandidate): number {
  return right.score - left.score || (left.candidate < right.candidate ? -1 : 1)
}

/** Finalizer of MurmurHash3 over both hashes: every input bit changes about half of the output bits. */
function mixHashes (left: number, right: number): number {
  let mixed = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
