import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'

/** Receives the answer to one batch of frontend messages, up to its ReadyForQuery. */
export interface Exchange {
  handleMessage(type: number, message: Buffer): void
  handleReady(status: TransactionStatus): void
  /** The connection ended before ReadyForQuery. */
  handleClose(reason: string): void
}
