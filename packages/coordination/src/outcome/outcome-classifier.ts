import { errorsCatalogue } from '@tanagerusher/errors/catalogue/errors-catalogue'
import type { FailedRequest } from './failed-request.js'

/**
 * Progress of a request when it failed. `waiting`: nothing was sent. `sent`: bytes may have reached the pool, but no response
 * was received. `rejected`: the pool responded with an error.
 */
export type RequestProgress = 'waiting' | 'sent' | 'rejected'

export type RequestOutcome = 'not-run' | 'unknown'

/** Classifies a failed request by whether its work is certain not to have taken effect. */
export class OutcomeClassifier {
  private constructor () {}

  static create (): OutcomeClassifier {
    return new OutcomeClassifier()
  }

  classify ({ progress, kind, isInTransaction, commits }: FailedRequest): RequestOutcome {
    if (progress === 'waiting') return 'not-run'
    if (progress === 'rejected' && errorsCatalogue[kind].outcome === 'not-run') return 'not-run'
    // An open block that is not committed is rolled back when its connection is lost.
    return isInTransaction && !commits ? 'not-run' : 'unknown'
  }
}
