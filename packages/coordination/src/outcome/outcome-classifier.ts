import { errorsCatalogue } from '@tanagerusher/errors/catalogue/errors-catalogue'
import type { FailedRequest } from './failed-request.js'

/**
 * How far a request had come when it failed. `waiting`: nothing was sent. `sent`: bytes may have reached the pool and no
 * answer came. `rejected`: the pool answered with an error.
 */
export type RequestProgress = 'waiting' | 'sent' | 'rejected'

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
