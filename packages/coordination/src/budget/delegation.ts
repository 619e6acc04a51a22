interface CreateOptions {
  validMs?: number
  clockMargin?: number
}

interface DelegationRequest {
  /** Incarnation of the home that asks. */
  home: string
  /** Rises with each request of the home. */
  sequence: number
  partitions: readonly number[]
  /** Whether the own view names this home as the first in order for the partition. */
  isPreferred: (partition: number) => boolean
  /** Time for which the own share stays valid. */
  shareValidMs: number
}

interface ReleaseRequest { home: string, sequence: number, partitions: readonly number[], next?: string | undefined }

interface Delegated { home: string, sequence: number, until: number }

/** Below this, a delegation would lapse before a grant could be made from it. */
const USEFUL_MS = 1500

/**
 * Giver's side of delegations: to which home this host's share of each partition is delegated, and until when. A share is
 * with one home at a time; the next home gets it when the time of the one before is over on this host's clock, which
 * counts longer than the home's does.
 */
export class Delegation {
  readonly #validMs: number
  readonly #clockMargin: number
  readonly #delegated = new Map<number, Delegated>()

  private constructor ({ validMs = 3000, clockMargin = 0.05 }: CreateOptions) {
    this.#validMs = validMs
    this.#clockMargin = clockMargin
  }

  static create (options: CreateOptions = {}): Delegation {
    return new Delegation(options)
  }

  /** Answers a home. `partitions` are those delegated to it; `validMs` counts from when the home sent its request. */
  delegate ({ home, sequence, partitions, isPreferred, shareValidMs }: DelegationRequest, now: number): { partitions: number[], validMs: number } {
    const validMs = Math.min(this.#validMs, shareValidMs)
    if (validMs < USEFUL_MS) return { partitions: [], validMs: 0 }
    const given = partitions.filter((partition) => this.#isFree(partition, home, now) && isPreferred(partition))
    const until = now + validMs * (1 + this.#clockMargin)
    for (const partition of given) {
      const known = this.#delegated.get(partition)
      this.#delegated.set(partition, { home, sequence: Math.max(sequence, known?.home === home ? known.sequence : 0), until: Math.max(until, known?.until ?? 0) })
    }
    return { partitions: given, validMs }
  }

  /**
   * A home gave partitions up. `next` is the home that was told of the grants still out: until the delegation would have
   * lapsed, only that one gets the share. Without `next` all grants have lapsed. Ignored for delegations to another home,
   * and for those given to a later request of this home, since the release may be late or repeated.
   */
  release ({ home, sequence, partitions, next }: ReleaseRequest): void {
    for (const partition of partitions) {
      const delegated = this.#delegated.get(partition)
      if (delegated?.home !== home || delegated.sequence > sequence) continue
      if (next === undefined) this.#delegated.delete(partition)
      else this.#delegated.set(partition, { home: next, sequence: 0, until: delegated.until })
    }
  }

  #isFree (partition: number, home: string, now: number): boolean {
    const delegated = this.#delegated.get(partition)
    return delegated === undefined || delegated.home === home || delegated.until <= now
  }
}
