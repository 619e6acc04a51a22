import type { Catalogue } from '@tanagerusher/state/catalogue/catalogue'
import type { CatalogueEntry } from '@tanagerusher/state/catalogue/catalogue-entry'

interface CreateOptions {
  /** A withdrawn key stops working within this time, also where nobody is reached. */
  keyFreshnessMs: number
}

export type CallerCheck =
  | { type: 'allowed', entry: CatalogueEntry, organisation: string | undefined }
  | { type: 'refused', reason: 'entry-unknown' | 'key-unknown' | 'stale' }

/** Part of the freshness limit that is used; the rest covers clocks that run apart. */
const USED_PART = 0.9

/**
 * Newest catalogue that this host knows, with the time at which it was last proven to be the newest. A proof counts from
 * before its request was sent, so a slow answer is worth less. Versions never go back.
 */
export class CatalogueReplica {
  readonly #freshnessMs: number
  #catalogue: Catalogue | undefined
  #provenAt = -Infinity
  #invalidatedAt = -Infinity

  private constructor ({ keyFreshnessMs }: CreateOptions) {
    this.#freshnessMs = keyFreshnessMs * USED_PART
  }

  static create (options: CreateOptions): CatalogueReplica {
    return new CatalogueReplica(options)
  }

  get catalogue (): Catalogue | undefined { return this.#catalogue }
  get version (): number { return this.#catalogue?.version ?? -1 }

  /** True when the catalogue is newer than the known one and was taken. */
  apply (catalogue: Catalogue): boolean {
    if (catalogue.version <= this.version) return false
    this.#catalogue = catalogue
    return true
  }

  /** `version` was the newest at `provenAt`, by this host's monotonic clock, as the answer to a question of `askedAt` shows. */
  confirm (version: number, provenAt: number, askedAt = provenAt): void {
    if (version <= this.version && askedAt > this.#invalidatedAt) this.#provenAt = Math.max(this.#provenAt, provenAt)
  }

  /** After a suspension no time that was measured before it can be trusted, nor an answer to an earlier question. */
  invalidateProof (now: number): void {
    this.#provenAt = -Infinity
    this.#invalidatedAt = now
  }

  readProofAge (now: number): number {
    return now - this.#provenAt
  }

  /** Whether a caller may work on a database now. Checked again for every operation, since keys and entries go at any time. */
  checkCaller (database: string, key: string | undefined, now: number): CallerCheck {
    const entry = this.#catalogue?.entries.get(database)
    if (entry === undefined) return { type: 'refused', reason: this.#catalogue === undefined ? 'stale' : 'entry-unknown' }
    const organisation = key === undefined ? undefined : this.#catalogue?.organisationByKey.get(key)
    if (entry.isPublic) return { type: 'allowed', entry, organisation }
    if (organisation === undefined) return { type: 'refused', reason: 'key-unknown' }
    return this.readProofAge(now) <= this.#freshnessMs ? { type: 'allowed', entry, organisation } : { type: 'refused', reason: 'stale' }
  }
}
