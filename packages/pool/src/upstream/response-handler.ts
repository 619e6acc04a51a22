import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'

/** Handles the response to one batch of frontend messages, up to its ReadyForQuery. */
export interface ResponseHandler {
  handleMessage(type: number, message: Buffer): void
  handleReady(status: TransactionStatus): void
  /** Handles a connection that closed before ReadyForQuery. */
  handleClose(reason: string): void
}
