import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Row } from './row-collector.js'

/** Decodes a row of `platform_status()` or `platform_wait()`. Its columns are the fields of `DatabaseStatus` in snake case. */
export function decodeDatabaseStatus (row: Row | undefined): DatabaseStatus {
  if (row?.log_term == null || row.log_position == null) throw new Error('the status row is missing or has no log position')
  return {
    database: String(row.database),
    role: row.role === 'primary' ? 'primary' : 'replica',
    promisedTerm: Number(row.promised_term),
    log: { term: Number(row.log_term), position: Number(row.log_position) },
    termStart: Number(row.term_start),
    primary: row.primary ?? null,
    linkSilentMs: Number(row.link_silent_ms),
    connections: Number(row.connections)
  }
}
