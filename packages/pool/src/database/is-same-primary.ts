import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'

/**
 * Whether a status read behind a write on the same connection comes from the primary that ran it. A database that was
 * demoted in between may have truncated the write and caught up with the new primary's log; its position then lies behind
 * the write's without containing it, although a majority holds that position.
 */
export function isSamePrimary (status: DatabaseStatus, termBefore: number | undefined): boolean {
  return status.role === 'primary' && status.log.term === termBefore
}
