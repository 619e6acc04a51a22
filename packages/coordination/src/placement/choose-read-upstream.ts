import type { ReadCandidate } from './read-candidate.js'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Only the primary's slots can serve writes, so a read uses the primary only when every replica is slower by at least this time. */
const LEADER_PENALTY_MS = 15

/** Exceeds any acceptable queueing time, so a replica that is behind is chosen only when no other candidate is left. */
const BEHIND_PENALTY_MS = 10_000

/** Exceeds any acceptable queueing time; smaller than `BEHIND_PENALTY_MS`, since a replica that is behind cannot serve the read. */
const AVOIDED_PENALTY_MS = 5000

/** Candidates whose cost exceeds the lowest by less than this fraction, or by less than 1 ms, are near-equal. */
const NEAR_EQUAL_FRACTION = 0.15
const NEAR_EQUAL_MS = 1
const RANDOM_STEPS = 2 ** 30

/**
 * Chooses the database for a read that a replica may serve: the one with the shortest expected response time. When a database is
 * slow, far away or behind, reads go to the one with the smallest sum of queueing time, service time and round-trip time whose data
 * is new enough. Among near-equal ones the choice is random by weight, because many hosts choose by the same reports.
 */
export function chooseReadUpstream<Item extends ReadCandidate> (candidates: readonly Item[], random: RandomGenerator): Item | undefined {
  const usable = candidates.filter(({ isLeader, isLeaving }) => isLeader || !isLeaving)
  if (usable.length < 2) return usable[0]
  const fastestMs = findFastestMs(usable)
  const costs = usable.map((item) => computeCost(item, fastestMs))
  const lowest = Math.min(...costs)
  const toleranceMs = Math.max(NEAR_EQUAL_MS, NEAR_EQUAL_FRACTION * (lowest % AVOIDED_PENALTY_MS))
  const weights = costs.map((cost) => Math.max(0, 1 - (cost - lowest) / toleranceMs))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let left = total * uniformInt(random, 0, RANDOM_STEPS - 1) / RANDOM_STEPS
  return usable.find((_, index) => (left -= weights[index] as number) < 0) ?? usable[costs.indexOf(lowest)]
}

/** Returns the lowest service time among the candidates. A candidate without a recent report counts as equally fast, so that it is tried again. */
function findFastestMs (candidates: readonly ReadCandidate[]): number {
  const known = candidates.flatMap(({ serviceMs, serviceWeight = 1 }) => serviceMs === undefined || serviceWeight === 0 ? [] : [serviceMs])
  return known.length === 0 ? 0 : Math.min(...known)
}

function computeCost ({ distanceMs, waitMs, serviceMs, serviceWeight = 1, isLeader, isBehind, isAvoided }: ReadCandidate, fastestMs: number): number {
  const expectedMs = fastestMs + ((serviceMs ?? fastestMs) - fastestMs) * serviceWeight
  return distanceMs + waitMs + expectedMs + (isLeader ? LEADER_PENALTY_MS : 0) + (isBehind ? BEHIND_PENALTY_MS : 0) + (isAvoided === true ? AVOIDED_PENALTY_MS : 0)
}
