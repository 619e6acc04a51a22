import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { CatalogueEntry } from '@tanagerusher/state/catalogue/catalogue-entry'

interface CreateOptions {
  /** A withdrawn key stops working within this time, even at a host that can reach no other host and no store. */
  keyFreshnessMs: number
}

export type CallerCheck =
  | { type: 'allowed', entry: CatalogueEntry, organisation: string | undefined }
  | { type: 'refused', reason: 'entry-unknown' | 'key-unknown' | 'stale' }

/** Fraction of the freshness limit that is used; the rest covers clocks that run at different rates. */
const USABLE_FRACTION = 0.9

/**
 * Newest catalogue received by this host, with the time at which it was last confirmed to be current. A confirmation counts from
 * before its request was sent, so the response time reduces the period for which it is valid. The version never decreases.
 */
export class CatalogueReplica {
  readonly #freshnessMs: number
  #catalogue: Catalogue | undefined
  #confirmedAt = -Infinity
  #invalidatedAt = -Infinity

  private constructor ({ keyFreshnessMs }: CreateOptions) {
    this.#freshnessMs = keyFreshnessMs * USABLE_FRACTION
  }

  static create (options: CreateOptions): CatalogueReplica {
    return new CatalogueReplica(options)
  }

  get catalogue (): Catalogue | undefined { return this.#catalogue }
  get version (): number { return this.#catalogue?.version ?? -1 }

  /** Returns true when the catalogue is newer than the current one and replaces it. */
  apply (catalogue: Catalogue): boolean {
    if (catalogue.version <= this.version) return false
    this.#catalogue = catalogue
    return true
  }

  /**
   * Records that `version` was the newest at `confirmedAt`, according to the response to a request sent at `requestedAt`. Both are
   * times of this host's monotonic clock.
   */
  confirm (version: number, confirmedAt: number, requestedAt = confirmedAt): void {
    if (version <= this.version && requestedAt > this.#invalidatedAt) this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt)
  }

  /** Must be called after a suspension: times measured before it, and responses to requests sent before it, are invalid. */
  invalidateConfirmation (now: number): void {
    this.#confirmedAt = -Infinity
    this.#invalidatedAt = now
  }

  readConfirmationAgeMs (now: number): number {
    return now - this.#confirmedAt
  }

  /** Checks whether a caller may use a database now. Called for every operation, because keys and entries can be withdrawn at any time. */
  checkCaller (database: string, key: string | undefined, now: number): CallerCheck {
    const entry = this.#catalogue?.entries.get(database)
    if (entry === undefined) return { type: 'refused', reason: this.#catalogue === undefined ? 'stale' : 'entry-unknown' }
    return this.checkKey(entry, key, now)
  }

  /**
   * Checks whether a caller may go on with what it began on an entry. The entry is the one of that time, since a change or removal of an
   * entry applies from the next transaction on, while a withdrawn key stops working at once.
   */
  checkKey (entry: CatalogueEntry, key: string | undefined, now: number): CallerCheck {
    const organisation = key === undefined ? undefined : this.#catalogue?.organisationByKey.get(key)
    if (entry.isPublic) return { type: 'allowed', entry, organisation }
    if (organisation === undefined) return { type: 'refused', reason: 'key-unknown' }
    return this.readConfirmationAgeMs(now) <= this.#freshnessMs ? { type: 'allowed', entry, organisation } : { type: 'refused', reason: 'stale' }
  }
}
