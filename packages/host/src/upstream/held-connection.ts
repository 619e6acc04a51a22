import type { ConnectionSetup } from '@tanagerusher/coordination/transaction/connection-setup'
import type { UpstreamConnection } from '@tanagerusher/coordination/common/upstream-connection'

/** A connection with what the proxy knows of it. */
export interface HeldConnection {
  readonly connection: UpstreamConnection
  readonly organisation: string
  readonly setup: ConnectionSetup
  isIdle: boolean
  usedAt: number
}
