import type { ExecuteParams } from '@tanagerusher/protocol/peer/execute'
import type { PooledConnection } from './pooled-connection.js'
import type { ResultRelay } from './result-relay.js'

/** One request of an entry from its arrival to its answer. */
export interface ActiveRequest {
  params: ExecuteParams
  /** Identifies the peer connection that the request came over. */
  readonly owner: string
  readonly deadline: number
  readonly sendChunk: (sequence: number, frames: Buffer<ArrayBuffer>) => void
  connection?: PooledConnection | undefined
  relay?: ResultRelay | undefined
  cancelling?: Promise<boolean> | undefined
  /** Context of the request's span, when it is traced. */
  traceparent?: string
  isTimedOut: boolean
  /** The entry that sent it is gone. */
  isAbandoned: boolean
  /** Ends the wait for a slot. */
  stopWaiting?: ((error: unknown) => void) | undefined
}
