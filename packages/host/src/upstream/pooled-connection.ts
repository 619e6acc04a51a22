import type { ConnectionSetup } from '@tanagerusher/coordination/transaction/connection-setup'
import type { UpstreamConnection } from '@tanagerusher/coordination/common/upstream-connection'

/** A connection with its organisation, its session state and its use by the pool. */
export interface PooledConnection {
  readonly connection: UpstreamConnection
  readonly organisation: string
  readonly setup: ConnectionSetup
  isIdle: boolean
  usedAt: number
}
