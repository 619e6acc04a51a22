import type { ColumnType } from '../ledger/column-type.js'
import type { SessionCommand } from '../sql/parsed-statement.js'
import type { Plan } from '../sql/plan.js'
import type { StatementInstance } from '../sql/statement-instance.js'

/** Parsed statement of a session. Its SQL is compiled again when tables change. */
export interface PreparedStatement {
  /** Absent for an empty query. */
  instance: StatementInstance | undefined
  declaredTypes: Array<ColumnType | undefined>
}

/** Executable form of a prepared statement. */
export type ExecutableStatement =
  | { type: 'empty' }
  | { type: 'session', command: SessionCommand }
  | { type: 'plan', plan: Plan }
