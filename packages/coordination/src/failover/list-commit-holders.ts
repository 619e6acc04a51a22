import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'
import type { CommitHolder } from './commit-holder.js'

interface Options {
  /** Databases of the group in the directory. */
  records: readonly UpstreamRecord[]
  /** Databases of the group that left the directory recently. */
  departed: ReadonlyArray<{ record: UpstreamRecord, leftAt: number }>
  candidates: readonly UpstreamRecord[]
  /** Primary to replace; undefined when none is known. */
  leaderId: string | undefined
  /** Time at which the search for a successor began; earlier attempts of the same search count. */
  searchStartedAt: number
  now: number
}

/**
 * A database that leaves normally responds until its end, and its log is then at the database that replaces it. This time covers the
 * registration of that database; without a limit, one that never responds again would leave the group without a primary.
 */
const MAXIMUM_WAIT_MS = 5000

/**
 * Lists the databases beside the candidates that count toward the acknowledgement of commits: those that leave, those in evacuated data
 * centres, which count as leaving, and those that are missing from the directory although they may still run.
 */
export function listCommitHolders ({ records, departed, candidates, leaderId, searchStartedAt, now }: Options): CommitHolder[] {
  const known = new Set([leaderId, ...candidates.map(({ id }) => id)])
  const listed = records.filter(({ id }) => !known.has(id))
  const addresses = new Set(records.map(({ address }) => address))
  // A former primary is not awaited: the search takes place because it does not respond. A reused address has the log of its last owner.
  const missing = departed.filter(({ record }) => !known.has(record.id) && !record.claimsPrimary && !addresses.has(record.address))
  return [
    ...listed.map((record) => ({ record, isAwaited: now - searchStartedAt < MAXIMUM_WAIT_MS })),
    ...missing.map(({ record, leftAt }) => ({ record, isAwaited: now - leftAt < MAXIMUM_WAIT_MS }))
  ]
}
