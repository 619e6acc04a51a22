import type { Table } from '../ledger/table.js'
import type { Scope } from './scope.js'
import type { ScopeColumn } from './scope-column.js'

export interface CompileContext {
  findTable: (name: string) => Table
  createScope: (columns: readonly ScopeColumn[], qualifiers?: readonly string[]) => Scope
}
