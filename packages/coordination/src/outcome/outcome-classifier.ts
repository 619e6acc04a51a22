import type { ErrorKind } from '@tanagerusher/errors/catalogue/error-kind'
import { errorsCatalogue } from '@tanagerusher/errors/catalogue/errors-catalogue'

/**
 * How far a request had come when it failed. `waiting`: nothing was sent. `sent`: bytes may have reached the pool and no
 * answer came. `rejected`: the pool answered with an error.
 */
export type RequestProgress = 'waiting' | 'sent' | 'rejected'

export interface FailedRequest {
  progress: RequestProgress
  kind: ErrorKind
  /** The request is part of an open transaction block that began earlier. */
  isInTransaction: boolean
  /** The request may commit that block. */
  commits: boolean
}

export type RequestOutcome = 'not-run' | 'unknown'

/** States whether the work of a failed request certainly did not take effect. */
export class OutcomeClassifier {
  private constructor () {}

  static create (): OutcomeClassifier {
    return new OutcomeClassifier()
  }

  classify ({ progress, kind, isInTransaction, commits }: FailedRequest): RequestOutcome {
    if (progress === 'waiting') return 'not-run'
    if (progress === 'rejected' && errorsCatalogue[kind].outcome === 'not-run') return 'not-run'
    // Without its commit, an open block is rolled back when its connection is lost.
    return isInTransaction && !commits ? 'not-run' : 'unknown'
  }
}
