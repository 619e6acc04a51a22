import type { WorkOutcome } from '@tanagerusher/errors/catalogue/error-definition'
import type { CallerRequest } from './caller-request.js'

export type CallerAnswer =
  | { type: 'answered', frames: Uint8Array, transactionStatus: 'I' | 'T' | 'E' }
  | { type: 'failed', kind: string, outcome: WorkOutcome, sqlState: string, message: string, hint: string }

/** A caller's session, independent of the protocol: it logs in once, runs requests in order and is closed. */
export interface CallerSession {
  /** Authenticated token that carries the session's floors to another host. */
  readonly token: string
  run(request: CallerRequest): Promise<CallerAnswer>
  cancel(requestId: string): Promise<void>
  close(): Promise<void>
}
