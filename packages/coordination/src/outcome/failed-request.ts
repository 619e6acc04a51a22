import type { ErrorKind } from '@tanagerusher/errors/catalogue/error-kind'
import type { RequestProgress } from './outcome-classifier.js'

export interface FailedRequest {
  progress: RequestProgress
  kind: ErrorKind
  /** Whether the request is part of an open transaction block that an earlier request began. */
  isInTransaction: boolean
  /** Whether the request may commit that block. */
  commits: boolean
}
