import type { SessionFloor } from '@tanagerusher/coordination/session/session-floor'
import type { Pin } from './pin.js'

/** Part of a caller's session that request routing uses. */
export interface RoutedSession {
  /**
   * Session identifier sent to the pools. It changes with each transaction, so that a late response to one BEGIN cannot be
   * mistaken for another.
   */
  readonly transactionId: string
  readonly organisation: string
  readonly entryName: string
  readonly beganAt: number
  readonly floor: SessionFloor
  pin: Pin | undefined
  /** Writes result bytes to the caller. Calls `handleDrained` when the socket accepts more bytes. */
  writeChunk(frames: Uint8Array, handleDrained: () => void): void
}
