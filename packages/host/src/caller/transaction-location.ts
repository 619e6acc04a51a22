import type { UpstreamRecord } from '@tanagerusher/state/upstream/upstream-record'

/** The database and the owner of its connections to which a transaction is pinned. */
export interface TransactionLocation { session: string, record: UpstreamRecord, host: string }
