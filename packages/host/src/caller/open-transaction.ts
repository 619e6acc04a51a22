import type { CatalogueEntry } from '@tanagerusher/state/catalogue/catalogue-entry'
import type { TransactionLocation } from './transaction-location.js'

/** A caller's transaction from its BEGIN to its end. */
export interface OpenTransaction {
  /** Unique in the fleet. */
  session: string
  entry: CatalogueEntry
  organisation: string
  isReadOnly: boolean
  /** Whether a write of the transaction was sent. */
  hasWritten: boolean
  /** Database and host to which the transaction is pinned; undefined until its first statement has run. */
  location: TransactionLocation | undefined
  /** Reason why the transaction can only be rolled back; undefined while it can continue. */
  failure: string | undefined
}
