import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'

/** A connection to one database, bound to one organisation. Commands are answered in order. */
export interface UpstreamConnection {
  readonly isOpen: boolean
  /** Sends commands in one write. Each answer comes as `lost` when the connection ends or `timeoutMs` passes before it. */
  send(commands: readonly UpstreamCommand[], timeoutMs: number): Array<Promise<StatementAnswer>>
  onClose(listener: () => void): void
  close(): void
}
