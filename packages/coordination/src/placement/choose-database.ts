import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { chooseReadUpstream } from './choose-read-upstream.js'
import type { DatabaseLoad } from './database-load.js'
import { decidePlacement } from './decide-placement.js'

interface Options {
  /** Databases of the group. */
  records: readonly UpstreamRecord[]
  /** Primary of the group, wherever it is. */
  leader: UpstreamRecord | undefined
  /** Whether the operation only reads, and its entry permits reads from replicas. */
  isReplicaAllowed: boolean
  /** Whether replicas probably have the position that the session's next read must see. */
  isReplicaCurrent: boolean
  /** Regions in which the operation may run; undefined: any. */
  permittedRegions: ReadonlySet<string> | undefined
  /** Region of each data centre. */
  regions: ReadonlyMap<string, string>
  /** Databases at which an attempt of the operation has failed. A primary that serves no reads is tried again. */
  failed: ReadonlySet<string>
  estimateLoad: (record: UpstreamRecord) => DatabaseLoad
  /** Seeded generator for the choice between databases that are expected to be equally fast. */
  random: RandomGenerator
}

type DatabaseChoice =
  | { type: 'chosen', record: UpstreamRecord, usesReplicas: boolean }
  /** No database is known that can run the operation now; one may be known soon. */
  | { type: 'none' }
  | { type: 'refused', reason: string }

/** Chooses the database for one attempt of an operation. */
export function chooseDatabase ({ records, leader, isReplicaAllowed, isReplicaCurrent, permittedRegions, regions, failed, estimateLoad, random }: Options): DatabaseChoice {
  const placement = decidePlacement({ records, leader, isReplicaAllowed, permittedRegions, regions })
  if (placement.type === 'refused') return placement
  // Replicas in the home regions serve the reads of a session that has just written when its primary is outside of them.
  const usesReplicas = isReplicaAllowed && (isReplicaCurrent || (permittedRegions !== undefined && placement.leader === undefined))
  const chosen = usesReplicas ? chooseReadUpstream(placement.records.filter(({ id }) => !failed.has(id)).map(buildCandidate), random)?.record : placement.leader
  return chosen === undefined ? { type: 'none' } : { type: 'chosen', record: chosen, usesReplicas }

  function buildCandidate (record: UpstreamRecord) {
    return { id: record.id, record, isLeader: record.id === leader?.id, isLeaving: record.isLeaving, ...estimateLoad(record) }
  }
}
