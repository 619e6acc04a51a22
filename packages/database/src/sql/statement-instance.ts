import type { ParsedStatement } from './parsed-statement.js'

/** One parsed statement. `literals` fill the parameters after `parameterCount`. */
export interface StatementInstance {
  parsed: ParsedStatement
  parameterCount: number
  literals: Array<string | number>
  /** Equal for statements that differ only in literals of the same kinds. */
  cacheKey: string
}
