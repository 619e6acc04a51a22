import type { SessionFloor } from '@tanagerusher/coordination/session/session-floor'
import type { Pin } from './pin.js'

/** What routing must know of the caller's session. */
export interface RoutedSession {
  /** Session identifier for the pools. New for each transaction, so that a late answer to one BEGIN cannot be taken for another. */
  readonly transactionId: string
  readonly organisation: string
  readonly entryName: string
  readonly beganAt: number
  readonly floor: SessionFloor
  pin: Pin | undefined
  /** Writes result bytes to the caller. Calls `handleTaken` when the caller has taken them. */
  writeChunk(frames: Uint8Array, handleTaken: () => void): void
}
