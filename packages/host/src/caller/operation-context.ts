import type { CatalogueEntry } from '@tanagerusher/state/catalogue/catalogue-entry'
import type { Position } from '@tanagerusher/state/position/position'

export interface OperationContext {
  session: string
  entry: CatalogueEntry
  organisation: string
  values: Array<[string, string]>
  /** Lowest position that a read of the session must see. */
  floor: Position | undefined
  deadline: number
  /** Time of the session's last commit. */
  committedAt: number
}
