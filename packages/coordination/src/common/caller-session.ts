import type { WorkOutcome } from '@tanagerusher/errors/catalogue/error-definition'
import type { CallerRequest } from './caller-request.js'

export type CallerAnswer =
  | { type: 'answered', frames: Uint8Array, transactionStatus: 'I' | 'T' | 'E' }
  | { type: 'failed', kind: string, outcome: WorkOutcome, sqlState: string, message: string, hint: string }

/** A caller's session, by whatever protocol it came: log in once, run requests in order, close. */
export interface CallerSession {
  /** Authenticated token with the session's floors, to bring along to another host. */
  readonly token: string
  run(request: CallerRequest): Promise<CallerAnswer>
  cancel(requestId: string): Promise<void>
  close(): Promise<void>
}
