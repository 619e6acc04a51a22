import type { ColumnType } from '../ledger/column-type.js'
import type { Expression } from './expression.js'
import type { RunContext } from './run-context.js'
import type { ScopeColumn } from './scope-column.js'
import type { PlanResult } from './plan-result.js'

/** Compiled statement. */
export interface Plan {
  command: 'SELECT' | 'INSERT' | 'UPDATE' | 'DELETE' | 'CREATE TABLE'
  /** Columns of the result; null when there is none. */
  columns: readonly ScopeColumn[] | null
  parameterTypes: ColumnType[]
  /** Whether the statement needs a transaction that may write. */
  isWrite: boolean
  /** Control function that must have returned its rows before the statement runs. */
  control: { name: string, parameters: Expression[] } | null
  /** Argument of `pg_sleep`: the minimum duration of the statement. */
  sleepSeconds: Expression | null
  run: (context: RunContext) => PlanResult
}
