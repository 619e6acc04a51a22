import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import type { ErrorFields } from '../upstream/error-fields.js'

export interface RelayedResult {
  frames: Buffer<ArrayBuffer>
  chunks: number
  status: TransactionStatus
  tags: string[]
  error: ErrorFields | undefined
  /** The error came before any command had completed: nothing was executed. */
  isRejected: boolean
  hasParameterStatus: boolean
}
