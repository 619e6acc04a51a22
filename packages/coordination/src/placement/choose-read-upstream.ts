interface Candidate {
  id: string
  isLeader: boolean
  isLeaving: boolean
  /** Round trip to the owner of its connections. */
  distanceMs: number
  /** Time that a statement is expected to wait there. */
  waitMs: number
  /** It lacked the position that a read needed, a moment ago. */
  isBehind: boolean
}

/** The primary's slots are the only ones for writes; a read goes there only when a replica would be this much later. */
const LEADER_PENALTY_MS = 15

/** Above any queue that is worth joining: a replica that is behind is only tried when nothing else is left. */
const BEHIND_PENALTY_MS = 10_000

/**
 * Database for a read that a replica may serve: the one expected to answer first. Answers the load in which one database is
 * slow, far or behind: reads go where the queue and the distance together are shortest and the data is new enough.
 */
export function chooseReadUpstream<Item extends Candidate> (candidates: readonly Item[]): Item | undefined {
  const cost = (item: Item): number => item.distanceMs + item.waitMs + (item.isLeader ? LEADER_PENALTY_MS : 0) + (item.isBehind ? BEHIND_PENALTY_MS : 0)
  const usable = candidates.filter(({ isLeader, isLeaving }) => isLeader || !isLeaving)
  return usable.sort((left, right) => cost(left) - cost(right))[0]
}
