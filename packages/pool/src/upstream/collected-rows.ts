import type { TransactionStatus } from '@tanagerusher/coordination/transaction/connection-state'
import type { ErrorFields } from './error-fields.js'
import type { Row } from './row-collector.js'

export interface CollectedRows {
  rows: Row[]
  error: ErrorFields | undefined
  status: TransactionStatus
}
