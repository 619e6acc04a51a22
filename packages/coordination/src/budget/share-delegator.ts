interface CreateOptions {
  validMs?: number
  clockMargin?: number
}

interface DelegationRequest {
  /** Incarnation of the requesting budget home. */
  home: string
  /** Increases with each request of the home. */
  sequence: number
  partitions: readonly number[]
  /** Whether this home comes first in the partition's order according to this host's view of the members. */
  isPreferred: (partition: number) => boolean
  /** Time for which the share of this host stays valid. */
  shareValidMs: number
}

interface ReleaseRequest { home: string, sequence: number, partitions: readonly number[], next?: string | undefined }

interface Delegated { home: string, sequence: number, expiresAt: number }

/** A shorter delegation would expire before a grant could be made from it. */
const MIN_VALIDITY_MS = 1500

/**
 * The delegating side of delegations: records to which budget home this host's share of each partition is delegated, and until
 * when. A share has one home at a time. The next home gets it after the delegation to the previous one has expired on the clock
 * of this host, which is later than on the clock of that home because of the clock margin.
 */
export class ShareDelegator {
  readonly #validMs: number
  readonly #clockMargin: number
  readonly #delegated = new Map<number, Delegated>()

  private constructor ({ validMs = 3000, clockMargin = 0.05 }: CreateOptions) {
    this.#validMs = validMs
    this.#clockMargin = clockMargin
  }

  static create (options: CreateOptions = {}): ShareDelegator {
    return new ShareDelegator(options)
  }

  /** Returns the partitions that are delegated to a requesting home. `validMs` counts from the time at which the home sent its request. */
  delegate ({ home, sequence, partitions, isPreferred, shareValidMs }: DelegationRequest, now: number): { partitions: number[], validMs: number } {
    const validMs = Math.min(this.#validMs, shareValidMs)
    if (validMs < MIN_VALIDITY_MS) return { partitions: [], validMs: 0 }
    const given = partitions.filter((partition) => this.#isAvailable(partition, home, now) && isPreferred(partition))
    const expiresAt = now + validMs * (1 + this.#clockMargin)
    for (const partition of given) {
      const known = this.#delegated.get(partition)
      this.#delegated.set(partition, { home, sequence: Math.max(sequence, known?.home === home ? known.sequence : 0), expiresAt: Math.max(expiresAt, known?.expiresAt ?? 0) })
    }
    return { partitions: given, validMs }
  }

  /**
   * Handles the release of partitions by a home. `next` is the home that has recorded the grants that are still open: until the
   * released delegation would have expired, only that home gets the share. Without `next`, all grants have expired. A release is
   * ignored for delegations to another home and for those to a later request of this home, since it may be late or repeated.
   */
  release ({ home, sequence, partitions, next }: ReleaseRequest): void {
    for (const partition of partitions) {
      const delegated = this.#delegated.get(partition)
      if (delegated?.home !== home || delegated.sequence > sequence) continue
      if (next === undefined) this.#delegated.delete(partition)
      else this.#delegated.set(partition, { home: next, sequence: 0, expiresAt: delegated.expiresAt })
    }
  }

  #isAvailable (partition: number, home: string, now: number): boolean {
    const delegated = this.#delegated.get(partition)
    return delegated === undefined || delegated.home === home || delegated.expiresAt <= now
  }
}
