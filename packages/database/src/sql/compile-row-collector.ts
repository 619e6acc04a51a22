import type { Expr } from 'pgsql-ast-parser'
import type { Table } from '../ledger/table.js'
import type { Value } from '../ledger/value.js'
import { compileRowFinder } from './compile-row-finder.js'
import type { RunContext } from './run-context.js'
import type { Scope } from './scope.js'

type RowCollector = (context: RunContext) => Array<[key: string, values: readonly Value[]]>

/** Compiles a WHERE clause for statements that change rows: it collects all matching rows before the first one changes. */
export function compileRowCollector (table: Table, where: Expr | null | undefined, scope: Scope): RowCollector {
  const find = compileRowFinder(table, where, scope)
  return (context) => {
    const found: Array<[key: string, values: readonly Value[]]> = []
    find(context, (values, key) => { found.push([key, values]) })
    return found
  }
}
