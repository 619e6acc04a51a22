import { isFloorSatisfied } from './is-floor-satisfied.js'
import type { ReplicaCandidate } from './replica-candidate.js'
import type { ReadRequest } from './read-request.js'
import type { ReplicaChoice } from './replica-choice.js'

interface CreateOptions {
  dataCentre: string
  region: string
  /** Longest time that a read waits for a replica that is behind the read's floor. The wait takes place in the replica's pool. */
  catchUpWaitMs: number
  /** A member whose status is older than this is not chosen. */
  statusMaximumAgeMs: number
}

/**
 * Chooses the database for a read: a replica whose data is fresh enough, otherwise one that is expected to catch up, otherwise
 * the primary. Among several replicas the nearest is preferred, then the least loaded.
 */
export class ReplicaSelector {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ReplicaSelector {
    return new ReplicaSelector(options)
  }

  /** Returns undefined when none of the candidates can serve the read. */
  choose (request: ReadRequest, candidates: readonly ReplicaCandidate[], now: number): ReplicaChoice | undefined {
    let fresh: ReplicaCandidate | undefined
    let behind: ReplicaCandidate | undefined
    let primary: ReplicaCandidate | undefined
    for (const candidate of candidates) {
      if (!this.#isUsable(candidate, request, now)) continue
      if (candidate.isPrimary) primary = candidate
      else if (isFresh(candidate, request, now)) fresh = this.#choosePreferred(fresh, candidate)
      else if (this.#isCatchingUp(candidate, request, now)) behind = this.#choosePreferred(behind, candidate)
    }
    const chosen = fresh ?? behind ?? primary
    return chosen === undefined ? undefined : { database: chosen.database, isPrimary: chosen.isPrimary }
  }

  #isUsable (candidate: ReplicaCandidate, { excluded }: ReadRequest, now: number): boolean {
    if (!candidate.isReachable || candidate.isLeaving || excluded.has(candidate.database)) return false
    return now - candidate.observedAt <= this.#options.statusMaximumAgeMs
  }

  /** A replica of the floor's term whose data is at most `catchUpWaitMs` old is missing only the last log entries. */
  #isCatchingUp ({ log, age }: ReplicaCandidate, { floor, routedAt }: ReadRequest, now: number): boolean {
    if (now - routedAt >= this.#options.catchUpWaitMs) return false
    return floor !== null && log.term === floor.term && age.isWithin(this.#options.catchUpWaitMs, now)
  }

  #choosePreferred (left: ReplicaCandidate | undefined, right: ReplicaCandidate): ReplicaCandidate {
    if (left === undefined) return right
    const distanceDifference = this.#computeDistance(right) - this.#computeDistance(left)
    return distanceDifference < 0 || (distanceDifference === 0 && right.load < left.load) ? right : left
  }

  #computeDistance ({ dataCentre, region }: ReplicaCandidate): number {
    if (dataCentre === this.#options.dataCentre) return 0
    return region === this.#options.region ? 1 : 2
  }
}

function isFresh ({ log, age }: ReplicaCandidate, { floor, maximumAgeMs }: ReadRequest, now: number): boolean {
  if (floor !== null && !isFloorSatisfied(log, floor)) return false
  if (maximumAgeMs === undefined) return floor !== null
  return age.isWithin(maximumAgeMs, now)
}
