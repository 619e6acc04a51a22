import type { ColumnType } from '../ledger/column-type.js'
import type { SessionCommand } from '../sql/parsed-statement.js'
import type { Plan } from '../sql/plan.js'
import type { StatementInstance } from '../sql/statement-instance.js'

/** Parsed statement of a session; SQL is compiled anew when tables change. */
export interface PreparedStatement {
  /** Absent for an empty query. */
  instance: StatementInstance | undefined
  declaredTypes: Array<ColumnType | undefined>
}

/** What a statement is when it runs. */
export type ExecutableStatement =
  | { type: 'empty' }
  | { type: 'session', command: SessionCommand }
  | { type: 'plan', plan: Plan }
