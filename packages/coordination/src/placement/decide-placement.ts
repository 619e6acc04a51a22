import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

interface Options {
  /** Databases of the group. */
  records: readonly UpstreamRecord[]
  /** Primary of the group, wherever it is. */
  leader: UpstreamRecord | undefined
  isReplicaAllowed: boolean
  /** Undefined: any. */
  permittedRegions: ReadonlySet<string> | undefined
  /** Region of each data centre. A database in a data centre without a region is in no permitted region. */
  regions: ReadonlyMap<string, string>
}

/** `leader` is undefined when the primary is unknown or outside the permitted regions. */
type Placement =
  | { type: 'permitted', records: readonly UpstreamRecord[], leader: UpstreamRecord | undefined }
  | { type: 'refused', reason: string }

/**
 * Restricts the databases of a group to those at which an operation may run. Refuses the operation when none of them can run it
 * now, so that it does not wait for a database that it may not use. While the primary or the directory is unknown, it may wait.
 */
export function decidePlacement ({ records, leader, isReplicaAllowed, permittedRegions, regions }: Options): Placement {
  if (permittedRegions === undefined) return { type: 'permitted', records, leader }
  if (permittedRegions.size === 0) return refuse('can be used: those of the entry and those of the organisation have none in common')
  const isPermitted = ({ dataCentre }: UpstreamRecord): boolean => permittedRegions.has(regions.get(dataCentre) ?? '')
  const permitted = records.filter(isPermitted)
  const permittedLeader = leader !== undefined && isPermitted(leader) ? leader : undefined
  if (records.length === 0 || permittedLeader !== undefined) return { type: 'permitted', records: permitted, leader: permittedLeader }
  const names = [...permittedRegions].join(', ')
  if (permitted.length === 0) return refuse(`${names}: all databases of the group are outside`)
  if (leader === undefined) return { type: 'permitted', records: permitted, leader: undefined }
  if (!isReplicaAllowed) return refuse(`${names}: the primary is in ${regions.get(leader.dataCentre) ?? 'no known region'}`)
  if (permitted.every(({ isLeaving }) => isLeaving)) return refuse(`${names}: the primary is outside and the replicas are leaving`)
  return { type: 'permitted', records: permitted, leader: undefined }
}

function refuse (reason: string): Placement {
  return { type: 'refused', reason: `no database in the home regions ${reason}` }
}
