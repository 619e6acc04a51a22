import type { ParsedStatement } from './parsed-statement.js'

/** One parsed statement of a query. `literals` are the values of the parameters that follow the first `parameterCount`. */
export interface StatementInstance {
  parsed: ParsedStatement
  parameterCount: number
  literals: Array<string | number>
  /** Equal for statements that differ only in literals of the same kinds. */
  cacheKey: string
}
