import type { History } from '../history/history.js'

/**
 * Computes the share of completed autocommit reads that replicas served. Reads whose response does not contain the role of the
 * database are left out.
 */
export function measureReplicaShare ({ operations }: Pick<History, 'operations'>): number | undefined {
  const reads = operations.filter(({ kind, outcome, servedBy }) => kind === 'read' && outcome === 'run' && servedBy !== undefined)
  if (reads.length === 0) return undefined
  return reads.filter(({ servedBy }) => servedBy === 'replica').length / reads.length
}
