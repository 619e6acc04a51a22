import type { ExecuteParams } from '@tanagerusher/protocol/peer/execute'
import type { PooledConnection } from './pooled-connection.js'
import type { ResultRelay } from './result-relay.js'

/** Request of an entry, from its arrival until its response is sent. */
export interface ActiveRequest {
  params: ExecuteParams
  /** Identifies the peer connection that the request came over. */
  readonly owner: string
  readonly deadline: number
  readonly sendChunk: (sequence: number, frames: Buffer<ArrayBuffer>) => void
  connection?: PooledConnection | undefined
  relay?: ResultRelay | undefined
  cancelling?: Promise<boolean> | undefined
  /** Trace context of the request's span, if the request is traced. */
  traceparent?: string
  isTimedOut: boolean
  /** Whether the connection to the entry closed or the session was released. */
  isAbandoned: boolean
  /** Rejects the wait for a slot. */
  rejectWait?: ((error: unknown) => void) | undefined
}
