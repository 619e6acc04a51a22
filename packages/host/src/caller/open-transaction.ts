import type { CatalogueEntry } from '@tanagerusher/state/catalogue/catalogue-entry'
import type { TransactionPlace } from './transaction-place.js'

/** A caller's transaction from its BEGIN to its end. */
export interface OpenTransaction {
  /** Unique in the fleet. */
  session: string
  entry: CatalogueEntry
  organisation: string
  isReadOnly: boolean
  /** Where it is pinned; undefined until its first statement has run. */
  place: TransactionPlace | undefined
  /** Why it can only be ended; undefined while it is sound. */
  failure: string | undefined
}
