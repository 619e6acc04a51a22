import type { PooledConnection } from './pooled-connection.js'

/** Open transaction with the connection that it is pinned to. */
export interface PinnedTransaction { pooled: PooledConnection, isOnPrimary: boolean, hasWritten: boolean, usedAt: number, isBusy: boolean }
