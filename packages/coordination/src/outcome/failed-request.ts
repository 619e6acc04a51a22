import type { ErrorKind } from '@tanagerusher/errors/catalogue/error-kind'
import type { RequestProgress } from './outcome-classifier.js'

export interface FailedRequest {
  progress: RequestProgress
  kind: ErrorKind
  /** The request is part of an open transaction block that began earlier. */
  isInTransaction: boolean
  /** The request may commit that block. */
  commits: boolean
}
