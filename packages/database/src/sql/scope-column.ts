import type { ColumnType } from '../ledger/column-type.js'

export interface ScopeColumn {
  name: string
  type: ColumnType
}
