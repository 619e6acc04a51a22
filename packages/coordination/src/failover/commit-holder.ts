import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** Database that cannot be chosen like a candidate, but may hold the only copy of an acknowledged commit. */
export interface CommitHolder {
  record: UpstreamRecord
  /** Whether the search for the newest commit must wait for its response. */
  isAwaited: boolean
}
