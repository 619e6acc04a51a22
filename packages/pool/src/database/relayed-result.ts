import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import type { ErrorFields } from '../upstream/error-fields.js'

export interface RelayedResult {
  frames: Buffer<ArrayBuffer>
  chunks: number
  status: TransactionStatus
  tags: string[]
  error: ErrorFields | undefined
  /** Whether the error arrived before any command had completed, so that nothing was executed. */
  isRejected: boolean
  hasParameterStatus: boolean
}
