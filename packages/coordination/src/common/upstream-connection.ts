import type { Position } from '@tanagerusher/state/position/position'
import type { StatementAnswer } from '@tanagerusher/state/upstream/statement-answer'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamCommand } from '@tanagerusher/state/upstream/upstream-command'

export interface UpstreamTarget {
  id: string
  group: string
  /** `ip:port` */
  address: string
  /** The database binds the connection to this organisation. */
  organisation: string
}

/** A connection to one database, bound to one organisation. Commands are answered in order. */
export interface UpstreamConnection {
  readonly isOpen: boolean
  /** Sends commands in one write. Each answer comes as `lost` when the connection ends or `timeoutMs` passes before it. */
  send(commands: readonly UpstreamCommand[], timeoutMs: number): Array<Promise<StatementAnswer>>
  onClose(listener: () => void): void
  close(): void
}

export type UpstreamOpening =
  | { type: 'opened', connection: UpstreamConnection, position: Position | undefined }
  | { type: 'refused', failure: StatementFailure, text: string }
  | { type: 'unreachable', reason: string }

export interface UpstreamConnector {
  open(target: UpstreamTarget, timeoutMs: number): Promise<UpstreamOpening>
}
