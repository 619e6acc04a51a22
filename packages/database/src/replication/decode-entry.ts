import type { Change } from '../ledger/change.js'
import type { EncodedEntry } from './encoded-entry.js'
import type { LogEntry } from './log-entry.js'

/** Decodes a log entry that `encodeEntry` has encoded. */
export function decodeEntry ([term, ...encoded]: EncodedEntry): LogEntry {
  const changes = encoded.map((change): Change => {
    if (change.length === 1) return { type: 'create', definition: change[0] }
    const [table, key, values] = change
    return values === null ? { type: 'delete', table, key } : { type: 'put', table, key, values }
  })
  return { term, changes }
}
