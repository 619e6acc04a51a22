import type { UpstreamStatus } from '@tanagerusher/state/upstream/upstream-status'
import { comparePositions } from '@tanagerusher/state/position/compare-positions'

interface Candidate { id: string, dataCentre: string, status: UpstreamStatus | undefined }

interface Options<Item extends Candidate> {
  /** Databases of the group that may take over, with their answers; undefined for those that did not answer. */
  candidates: readonly Item[]
  /** Databases that acknowledge a commit together with the primary. */
  syncReplicas: number
  leaderDataCentre: string | undefined
}

type Successor<Item> = { type: 'chosen', candidate: Item } | { type: 'none', reason: string }

/**
 * Database that takes over: the one that received most, the old primary's data centre among equals. Where commits are
 * acknowledged by replicas, every replica must have answered, since the one that is silent may alone hold a commit.
 */
export function chooseSuccessor<Item extends Candidate> ({ candidates, syncReplicas, leaderDataCentre }: Options<Item>): Successor<Item> {
  const silent = candidates.filter(({ status }) => status === undefined)
  if (syncReplicas > 0 && silent.length > 0) return { type: 'none', reason: `no answer from ${silent.map(({ id }) => id).join(' ')}, which may hold acknowledged commits` }
  const answered = candidates.flatMap((candidate) => candidate.status === undefined ? [] : [{ candidate, position: candidate.status.position }])
  answered.sort((left, right) => comparePositions(right.position, left.position) || rank(left.candidate) - rank(right.candidate))
  const [best] = answered
  return best === undefined ? { type: 'none', reason: 'no replica answers' } : { type: 'chosen', candidate: best.candidate }

  function rank ({ dataCentre }: Candidate): number {
    return dataCentre === leaderDataCentre ? 0 : 1
  }
}
