import type { Position } from '../position/position.js'
import type { StatementFailure } from './statement-failure.js'

/** Response to one statement. `position` is the log position that the database reported with it. */
export type StatementResponse =
  | { type: 'done', proof: string, rows: string[], position?: Position | undefined }
  | { type: 'failed', failure: StatementFailure, text: string, position?: Position | undefined }
  /** The connection ended or became unresponsive before the response was complete. */
  | { type: 'lost', reason: string }
