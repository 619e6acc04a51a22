import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'

interface Candidate {
  id: string
  dataCentre: string
  status: UpstreamStatus | undefined
  isCold?: boolean
  /** The database is about to stop, so it is chosen only when it alone has the newest commit. */
  isLeaving?: boolean
  /** Whether the choice needs its response where replicas acknowledge commits; true when absent. */
  isAwaited?: boolean
}

interface Options<Item extends Candidate> {
  /** Databases of the group that can be promoted, with their status; undefined for those that did not respond. */
  candidates: readonly Item[]
  /** Number of replicas that must acknowledge a commit in addition to the primary. */
  syncReplicas: number
  leaderDataCentre: string | undefined
}

type Successor<Item> = { type: 'chosen', candidate: Item } | { type: 'none', reason: string }

/**
 * Chooses the replica with the highest position; among equal positions, one that does not leave, then a warm one, then one in the old
 * primary's data centre. Where replicas acknowledge commits, every awaited replica must have responded, because an unresponsive one may
 * hold the only copy of a commit.
 */
export function chooseSuccessor<Item extends Candidate> ({ candidates, syncReplicas, leaderDataCentre }: Options<Item>): Successor<Item> {
  const unresponsive = candidates.filter(({ status, isAwaited }) => status === undefined && isAwaited !== false)
  if (syncReplicas > 0 && unresponsive.length > 0) return { type: 'none', reason: `no answer from ${unresponsive.map(({ id }) => id).join(' ')}, which may hold acknowledged commits` }
  const responsive = candidates.flatMap((candidate) => candidate.status === undefined ? [] : [{ candidate, position: candidate.status.position }])
  responsive.sort((left, right) => comparePositions(right.position, left.position) || rank(left.candidate) - rank(right.candidate))
  const [best] = responsive
  return best === undefined ? { type: 'none', reason: 'no replica answers' } : { type: 'chosen', candidate: best.candidate }

  function rank ({ dataCentre, isCold, isLeaving }: Candidate): number {
    return (isLeaving === true ? 4 : 0) + (isCold === true ? 2 : 0) + (dataCentre === leaderDataCentre ? 0 : 1)
  }
}
