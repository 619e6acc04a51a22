import type { Position } from '@tanagerusher/state/position/position'
import { isFloorSatisfied } from './is-floor-satisfied.js'
import type { ReadAge } from './read-age.js'

interface CreateOptions {
  dataCentre: string
  region: string
  /** Longest time that a read waits for a replica that is behind its floor. */
  catchUpWaitMs: number
  /** A member whose status is older than this is not chosen. */
  statusMaximumAgeMs: number
}

/** What the selector knows of one database of a group. */
export interface ReplicaCandidate {
  database: string
  dataCentre: string
  region: string
  isPrimary: boolean
  isReachable: boolean
  /** A leaving database gets no new work. */
  isLeaving: boolean
  log: Position
  load: number
  age: ReadAge
  receivedAt: number
}

export interface ReadRequest {
  /** Lowest position that the read must see; null where only `maximumAgeMs` applies. */
  floor: Position | null
  maximumAgeMs: number | undefined
  /** When the read began to wait; the primary serves it after `catchUpWaitMs`. */
  waitingSince: number
  /** Databases that failed this read already. */
  excluded: ReadonlySet<string>
}

export type ReplicaChoice =
  | { type: 'use', database: string, isPrimary: boolean }
  /** A replica is expected to catch up: choose again when a status arrives, at the latest at `until`. */
  | { type: 'wait', until: number }
  | { type: 'none' }

/** Chooses the database for a read: fresh enough, then near, then idle; the primary is the last resort. */
export class ReplicaSelector {
  readonly #options: CreateOptions

  private constructor (options: CreateOptions) {
    this.#options = options
  }

  static create (options: CreateOptions): ReplicaSelector {
    return new ReplicaSelector(options)
  }

  choose (request: ReadRequest, candidates: readonly ReplicaCandidate[], now: number): ReplicaChoice {
    let best: ReplicaCandidate | undefined
    let primary: ReplicaCandidate | undefined
    let canCatchUp = false
    for (const candidate of candidates) {
      if (!this.#isUsable(candidate, request, now)) continue
      if (candidate.isPrimary) primary = candidate
      else if (isFresh(candidate, request, now)) best = best === undefined ? candidate : this.#prefer(best, candidate)
      else if (this.#isCatchingUp(candidate, request, now)) canCatchUp = true
    }
    if (best !== undefined) return { type: 'use', database: best.database, isPrimary: false }
    const until = request.waitingSince + this.#options.catchUpWaitMs
    if (canCatchUp && until > now) return { type: 'wait', until }
    return primary === undefined ? { type: 'none' } : { type: 'use', database: primary.database, isPrimary: true }
  }

  #isUsable (candidate: ReplicaCandidate, { excluded }: ReadRequest, now: number): boolean {
    if (!candidate.isReachable || candidate.isLeaving || excluded.has(candidate.database)) return false
    return now - candidate.receivedAt <= this.#options.statusMaximumAgeMs
  }

  /** A replica of the floor's term whose data is young lacks only the last entries. */
  #isCatchingUp ({ log, age }: ReplicaCandidate, { floor }: ReadRequest, now: number): boolean {
    return floor !== null && log.term === floor.term && age.isWithin(this.#options.catchUpWaitMs, now)
  }

  #prefer (left: ReplicaCandidate, right: ReplicaCandidate): ReplicaCandidate {
    const distance = this.#computeDistance(right) - this.#computeDistance(left)
    return distance < 0 || (distance === 0 && right.load < left.load) ? right : left
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
