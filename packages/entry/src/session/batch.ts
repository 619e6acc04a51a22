import type { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { StatementComment } from '@tanagerusher/protocol/postgres/statement-comment'

/** Frontend messages that run as one unit: one Query, or extended-protocol messages up to a Sync. */
export interface Batch {
  type: 'simple' | 'extended'
  /** Messages to send upstream. */
  frames: Buffer
  /** Statements that `frames` use. The pool prepares them on connections where they are missing. */
  statements: Array<{ name: string, parse: Buffer }>
  /** Types of the caller's extended-protocol messages, in order, without the Sync. */
  messageTypes: number[]
  access: 'read' | 'write'
  /** Number of statements that the batch runs, counted by the rate limiter. */
  count: number
  begins: boolean
  isReadOnlyBegin: boolean
  ends: boolean
  commits: boolean
  comment: StatementComment
  /** Names of the statements that the batch adds; they are removed when it fails. */
  addedNames: string[]
  /** When set, the caller receives this error and nothing of the batch is sent upstream. */
  error: TanagerusherError | undefined
}
