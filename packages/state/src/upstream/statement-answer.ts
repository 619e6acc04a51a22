import type { Position } from '../position/position.js'
import type { StatementFailure } from './statement-failure.js'

/** Answer to one statement. `position` is the log position that the database named with it. */
export type StatementAnswer =
  | { type: 'done', proof: string, rows: string[], position?: Position | undefined }
  | { type: 'failed', failure: StatementFailure, text: string, position?: Position | undefined }
  /** The connection ended or fell silent before the answer was complete. */
  | { type: 'lost', reason: string }
