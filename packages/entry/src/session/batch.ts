import type { TanagerusherError } from '@tanagerusher/errors/tanagerusher-error'
import type { StatementComment } from '@tanagerusher/protocol/postgres/statement-comment'

/** Frontend messages that run as a whole: one Query, or extended messages up to a Sync. */
export interface Batch {
  type: 'simple' | 'extended'
  /** Messages to send upstream. */
  frames: Buffer
  /** Statements that `frames` use and that the pool prepares where they are missing. */
  statements: Array<{ name: string, parse: Buffer }>
  /** Types of the caller's messages, in order, without the Sync. */
  messageTypes: number[]
  access: 'read' | 'write'
  /** Statements that it runs, for the rate. */
  count: number
  begins: boolean
  isReadOnlyBegin: boolean
  ends: boolean
  commits: boolean
  comment: StatementComment
  /** Names of statements that it adds; they are removed when it fails. */
  addedNames: string[]
  /** Set: the batch is answered with this error and nothing of it is sent. */
  error: TanagerusherError | undefined
}
