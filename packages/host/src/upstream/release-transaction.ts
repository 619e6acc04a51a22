import type { ConnectionPool } from './connection-pool.js'
import type { PinnedTransaction } from './pinned-transaction.js'

/** Timeout of the rollback of a transaction, which takes no slot. */
const ROLLBACK_TIMEOUT_MS = 1000

/** Rolls a transaction back and releases its connection, or closes the connection while a statement runs on it. */
export async function releaseTransaction ({ pooled, isBusy }: PinnedTransaction, pool: ConnectionPool, isClosed: boolean): Promise<void> {
  if (isBusy || !pooled.connection.isOpen || isClosed) {
    pool.discard(pooled)
    return
  }
  await Promise.all(pooled.connection.send([{ type: 'rollback' }], ROLLBACK_TIMEOUT_MS))
  pool.release(pooled)
}
