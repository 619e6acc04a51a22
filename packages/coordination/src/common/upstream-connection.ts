import type { StatementResponse } from '@tanagerusher/state/upstream/statement-response'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'
import type { TransactionState } from './transaction-state.js'

/** A connection to one database, bound to one organisation. Responses arrive in the order of the commands. */
export interface UpstreamConnection {
  readonly isOpen: boolean
  /** State that the database reported with its last response; undefined while a response is outstanding or if it reported none. */
  readonly transactionState: TransactionState | undefined
  /** Sends commands in one batch. A response resolves as `lost` when the connection closes or `timeoutMs` passes before it arrives. */
  send(commands: readonly UpstreamCommand[], timeoutMs: number): Array<Promise<StatementResponse>>
  onClose(listener: () => void): void
  close(): void
}
