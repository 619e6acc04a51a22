import type { UpstreamTarget } from './upstream-target.js'
import type { Position } from '@tanagerusher/state/position/position'
import type { StatementFailure } from '@tanagerusher/state/upstream/statement-failure'
import type { UpstreamConnection } from './upstream-connection.js'

export type UpstreamOpenResult =
  | { type: 'opened', connection: UpstreamConnection, position: Position | undefined }
  | { type: 'refused', failure: StatementFailure, text: string }
  | { type: 'unreachable', reason: string }

export interface UpstreamConnector {
  open(target: UpstreamTarget, timeoutMs: number): Promise<UpstreamOpenResult>
}
