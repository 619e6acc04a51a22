import type { CatalogueEntry } from '@tanagerusher/state/catalogue/catalogue-entry'
import type { BeginResult } from './operation-runner.js'

/** A caller's transaction from its BEGIN to its end. */
export interface OpenTransaction {
  /** Unique in the fleet. */
  session: string
  entry: CatalogueEntry
  organisation: string
  /** It is begun at the database while the caller pauses. */
  begun: Promise<BeginResult>
  isReadOnly: boolean
  /** Why it can only be ended; undefined while it is sound. */
  failure: string | undefined
}
