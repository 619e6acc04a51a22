import type { Position } from '@tanagerusher/state/position/position'
import type { CallerStatement } from '@tanagerusher/state/upstream/caller-statement'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { TransactionState } from './transaction-state.js'

export type CallerMessage =
  | { type: 'start', database: string, key: string | undefined }
  | { type: 'statement', id: string, statement: CallerStatement }
  | { type: 'quit' }
  | { type: 'invalid' }

/** Parses a caller's bytes into messages and formats responses. Each connection needs its own, since it buffers incomplete messages. */
export interface CallerCodec {
  /** @throws TanagerusherError `protocol-violation`; the connection must then be closed. */
  read(bytes: Buffer): CallerMessage[]
  formatReady(state: TransactionState, position: Position | undefined): string
  formatDone(rows: readonly string[], proof: string, state: TransactionState, position: Position | undefined): string
  formatFailure(failure: StatementFailure, text: string, state: TransactionState, position: Position | undefined): string
  /** Formats the refusal of a connection, which is closed afterwards. */
  formatRefusal(failure: StatementFailure, text: string): string
}
