import type { Position } from '@tanagerusher/state/position/position'
import type { CallerStatement } from '@tanagerusher/state/upstream/caller-statement'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'

export type CallerMessage =
  | { type: 'start', database: string, key: string | undefined }
  | { type: 'statement', id: string, statement: CallerStatement }
  | { type: 'quit' }
  | { type: 'invalid' }

/** `idle`: no transaction; `transaction`: one is open; `failed`: it can only be ended. */
export type TransactionState = 'idle' | 'transaction' | 'failed'

/** A caller protocol: bytes to messages and answers to bytes. One per connection, since it keeps the rest of a message. */
export interface CallerCodec {
  /** @throws TanagerusherError `protocol-violation`; the connection must then be closed. */
  read(bytes: Buffer): CallerMessage[]
  formatReady(state: TransactionState, position: Position | undefined): string
  formatDone(rows: readonly string[], proof: string, state: TransactionState, position: Position | undefined): string
  formatFailure(failure: StatementFailure, text: string, state: TransactionState, position: Position | undefined): string
  /** Refusal of a connection, after which it is closed. */
  formatRefusal(failure: StatementFailure, text: string): string
}
