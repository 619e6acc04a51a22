import type { History } from '../history/history.js'

/** Share of the answered autocommit reads, of those whose answer names its database, that replicas served. */
export function measureReplicaShare ({ operations }: Pick<History, 'operations'>): number | undefined {
  const reads = operations.filter(({ kind, outcome, servedBy }) => kind === 'read' && outcome === 'run' && servedBy !== undefined)
  if (reads.length === 0) return undefined
  return reads.filter(({ servedBy }) => servedBy === 'replica').length / reads.length
}
