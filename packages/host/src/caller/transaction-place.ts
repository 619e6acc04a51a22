import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** Where a transaction is pinned. */
export interface TransactionPlace { session: string, record: UpstreamRecord, host: string }
