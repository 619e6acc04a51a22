import type { DatabaseStatus } from '@tanagerusher/state/group/database-status'
import type { Value } from '../ledger/value.js'

/** Formats a status as the row that `platform_status()` and `platform_wait()` return. */
export function formatStatus (status: DatabaseStatus): Value[] {
  const { database, role, promisedTerm, log, termStart, primary, linkSilentMs, connections } = status
  return [database, role, promisedTerm, log.term, log.position, termStart, primary, linkSilentMs, connections]
}
