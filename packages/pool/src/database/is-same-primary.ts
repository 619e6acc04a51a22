import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'

/**
 * Whether a status that was read after a write on the same connection comes from the primary that executed the write. A database
 * that was demoted in between may have truncated the write and caught up with the log of the new primary. Its position is then
 * after the write's and held by a majority, although the log does not contain the write.
 */
export function isSamePrimary (status: DatabaseStatus, termBefore: number | undefined): boolean {
  return status.role === 'primary' && status.log.term === termBefore
}
