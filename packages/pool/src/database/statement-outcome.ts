import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { RelayedResult } from './relayed-result.js'

export interface StatementOutcome extends RelayedResult {
  databaseStatus: DatabaseStatus | undefined
}
